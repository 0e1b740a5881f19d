#pragma once

// Header fields that callers, nodes and targets exchange about a call.
namespace Galenahill::CallHeaders {

// On refusals and failures to the caller and between nodes: what became of
// the call.
inline constexpr const char *Outcome = "Galenahill-Outcome";
// No byte of the call reached a target.
inline constexpr const char *NotRun = "not-run";
// The call may have run.
inline constexpr const char *OutcomeUnknown = "outcome-unknown";

// Milliseconds that the call may still take. Callers may lower the route's
// timeout with it; between nodes it carries what is left.
inline constexpr const char *TimeoutMs = "Galenahill-Timeout-Ms";

// The call's id, given by the ingress.
inline constexpr const char *CallId = "Galenahill-Call-Id";

// Name of the service that the ingress means; a sidecar of another refuses.
inline constexpr const char *Service = "Galenahill-Service";

}
