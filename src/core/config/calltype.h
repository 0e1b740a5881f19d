#pragma once

namespace Galenahill {

// What a route's calls are, as far as that decides where and how often they
// may be sent.
enum class CallType {
    // May run more than once.
    Idempotent,
    // Must run at most once.
    NonIdempotent,
    // Must run at most once, and carries a body that takes a slow link a while,
    // so that it is offered by its header first.
    Upload,
};

// The name of a type in logs and metrics, such as "non-idempotent".
const char *toString(CallType type);

}
