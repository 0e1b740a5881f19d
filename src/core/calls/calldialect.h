#pragma once

#include "core/calls/callheaders.h"

#include <functional>
#include <string>
#include <string_view>

namespace Galenahill {

// Names of the header fields that callers and targets exchange with a node.
// The defaults are the product's own; the adapter of a platform fills in what
// its callers and targets use. An empty name means that there is no such field.
struct CallDialect
{
    // The caller's own id of a call. Passed on unchanged; the target repeats it
    // in its answer, so that an answer which belongs to another call is known.
    std::string requestId;

    // The id of the call for which a target makes the call of that id; empty if
    // the id names none. Null: ids don't tell.
    std::function<std::string_view(std::string_view id)> parentOf;

    // Milliseconds that the caller still waits, and that the target may take.
    std::string timeLeft = CallHeaders::TimeoutMs;

    // Id of the target that a call is meant for; any other must not run it.
    std::string expectedTarget;

    // Service of the VM on which the call began.
    std::string callerService;

    // Stands on each answer that a target gave of its own. A success without
    // it is not an answer, whatever its status says.
    std::string answerProof;

    // Stands on an answer by which a target says that it didn't run the call.
    std::string notExecuted;

    // Id of the target that answered.
    std::string targetId;
};

}
