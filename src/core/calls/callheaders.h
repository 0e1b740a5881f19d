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

// The target itself said that it didn't run the call.
inline constexpr const char *NotRunByTarget = "not-run-by-target";

// Milliseconds that the call may still take. Callers may lower the route's
// timeout with it; between nodes it carries what is left.
inline constexpr const char *TimeoutMs = "Galenahill-Timeout-Ms";

// The call's id, given by the ingress.
inline constexpr const char *CallId = "Galenahill-Call-Id";

// Name of the service that the ingress means; a sidecar of another refuses.
inline constexpr const char *Service = "Galenahill-Service";

// Version of the target that a call is meant for, while that version is under test.
inline constexpr const char *Version = "Galenahill-Version";

// Service of the VM on which the call began.
inline constexpr const char *CallerService = "Galenahill-Call-From";

// Name of the route, for the sidecar's fair shares.
inline constexpr const char *Route = "Galenahill-Route";

// On a sidecar's answers: calls that it runs and holds, a slash, and how many
// its target may run now; zero if it takes none.
inline constexpr const char *Load = "Galenahill-Load";

// Rank of the call among those that wait for the target, the milliseconds
// until it should be answered (empty: no objective), whether it may wait for a
// slot, and whether a running call waits for it; separated by semicolons.
inline constexpr const char *Terms = "Galenahill-Terms";

// On a sidecar's answers: milliseconds after which it expects a free slot for
// a further call; on a refusal, for a call like the one refused.
inline constexpr const char *WaitMs = "Galenahill-Wait-Ms";

// On a sidecar's answers: the services that runs of the call's route call,
// separated by commas.
inline constexpr const char *Calls = "Galenahill-Calls";

// Present if a node nearer to the first caller repeats the call when it
// fails. A target copies it, and the timeout, onto the calls that it makes for
// this one; else each layer of a deep tree would multiply the load.
inline constexpr const char *RetriedAbove = "Galenahill-Retried-Above";

}
