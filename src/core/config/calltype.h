#pragma once

namespace Galenahill {

// Type of a route's calls, which decides where and how often they may be sent.
enum class CallType {
    // May run more than once.
    Idempotent,
    // Must run at most once.
    NonIdempotent,
    // Must run at most once and has a body that takes a while to send over a slow link; the call is
    // therefore offered to a target with its header only at first.
    Upload,
    // May run more than once, and has a response that takes a while to send over a slow link.
    LargeResponse,
};

// The name of a type in logs and metrics, such as "non-idempotent".
const char *toString(CallType type);

}
