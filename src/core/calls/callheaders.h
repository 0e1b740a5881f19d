#pragma once

// Header fields that callers, nodes and targets exchange about a call.
namespace Galenahill::CallHeaders {

// On rejections and failures, to the caller and between nodes: whether the call was executed.
inline constexpr const char *Outcome = "Galenahill-Outcome";
// The call was not executed; no byte of it reached a target.
inline constexpr const char *NotRun = "not-run";
// The call may have been executed.
inline constexpr const char *OutcomeUnknown = "outcome-unknown";

// The target itself stated that it did not execute the call.
inline constexpr const char *NotRunByTarget = "not-run-by-target";

// Milliseconds that the call may still take. Callers may lower the route's timeout with it;
// between nodes it carries the remaining time.
inline constexpr const char *TimeoutMs = "Galenahill-Timeout-Ms";

// The call's id, assigned by the ingress.
inline constexpr const char *CallId = "Galenahill-Call-Id";

// Name of the service that the ingress calls; a sidecar of another service rejects the call.
inline constexpr const char *Service = "Galenahill-Service";

// Version of the target that a call is meant for, while that version is a canary.
inline constexpr const char *Version = "Galenahill-Version";

// Service of the VM on which the call originated.
inline constexpr const char *CallerService = "Galenahill-Call-From";

// Between nodes: the customer by whose key the ingress identified the caller. To the target: its name.
inline constexpr const char *Customer = "Galenahill-Customer";
inline constexpr const char *CustomerName = "Galenahill-Customer-Name";

// Name of the route, by which the sidecar shares its slots and queue fairly.
inline constexpr const char *Route = "Galenahill-Route";

// On a sidecar's responses: the calls that its target executes and that are queued, a slash, and
// the number that the target may execute now; zero if it accepts none.
inline constexpr const char *Load = "Galenahill-Load";

// How the sidecar queues the call, separated by semicolons: the call's priority, the milliseconds
// until it should be answered (empty: no objective), whether it may wait for a slot, whether it is
// a nested call, the milliseconds that it may wait (empty: no limit), whether it is a retry, the
// milliseconds that its caller waited before it returned (missing or empty: none), and the digest of
// its content (missing: the call has no body).
inline constexpr const char *Terms = "Galenahill-Terms";

// On a sidecar's responses: milliseconds after which it expects a free slot for a further call;
// on a rejection, for a call like the rejected one.
inline constexpr const char *WaitMs = "Galenahill-Wait-Ms";

// On a sidecar's responses: milliseconds that the call waited for a slot before it was sent to the
// target; missing if less than one.
inline constexpr const char *QueuedMs = "Galenahill-Queued-Ms";

// On a sidecar's responses: number of targets that have ended under the call's content; missing if none. Followed by
// a semicolon and "quarantined" if no further target gets it.
inline constexpr const char *TargetEnds = "Galenahill-Target-Ends";
inline constexpr const char *Quarantined = "quarantined";

// On a sidecar's responses: the services that targets call while they execute calls of this
// route, separated by commas.
inline constexpr const char *Calls = "Galenahill-Calls";

// Present if a node closer to the original caller retries the call when it fails. A target copies
// it, and the timeout, to its nested calls; otherwise each layer of a deep call tree would retry
// and multiply the load.
inline constexpr const char *RetriedAbove = "Galenahill-Retried-Above";

}
