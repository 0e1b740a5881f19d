#pragma once

#include "core/calls/callheaders.h"

#include <functional>
#include <string>
#include <string_view>

namespace Galenahill {

// Names of the header fields that callers and targets exchange with a node. The defaults are the
// project's own; the adapter of a platform sets those that its callers and targets use. An empty
// name means that there is no such field.
struct CallHeaderNames
{
    // The caller's own id of a call. Passed on unchanged; the target repeats it in its response, so
    // that a response to another call is detected.
    std::string requestId;

    // Maps the id of a nested call to the id of its parent call, for which a target makes it; empty
    // if there is none. Null if ids do not carry this.
    std::function<std::string_view(std::string_view id)> parentOf;

    // Milliseconds for which the caller still waits, and which the target may take.
    std::string timeoutMs = CallHeaders::TimeoutMs;

    // Id of the target that a call is meant for; any other target must not execute it.
    std::string expectedTarget;

    // Service of the VM on which the call originated.
    std::string callerService;

    // Name of the customer that makes the call, as the node identified it.
    std::string customer = CallHeaders::CustomerName;

    // Marks each response that the target itself produced. A success without it is not trusted,
    // whatever its status code.
    std::string originMarker;

    // Marks a response by which a target states that it did not execute the call.
    std::string notExecuted;

    // Id of the target that responded.
    std::string targetId;

    // States in each response of a target the calls per second that it accepts from all nodes
    // together, as a decimal number, for as long as the limit applies.
    std::string rateLimit;

    // With the value 1, states in each response of a target that it is leaving.
    std::string leaving;
};

}
