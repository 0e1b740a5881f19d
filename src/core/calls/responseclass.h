#pragma once

#include "core/calls/callheadernames.h"

namespace Galenahill {

// What a target's response says about the call.
enum class ResponseClass {
    // The target executed the call, and this is its complete response, successful or not.
    Answered,
    // The target states that it did not execute the call.
    NotExecuted,
    // The target failed while or after it executed the call.
    Failed,
    // The target did not produce this response; the call may have been executed.
    Untrusted,
    // The status tells the caller that the call was not executed, and the target does not state that; it may have been.
    Unproven,
};

// The parts of a response that decide its class.
struct ResponseFacts
{
    unsigned status = 0;
    bool hasOriginMarker = false;
    bool isMarkedNotExecuted = false;
    // The response has a content encoding. Callers accept none, so something altered the body on the way.
    bool hasEncoding = false;
};

// Classifies a complete response. If the header names define no origin marker, every response
// counts as produced by the target.
ResponseClass classifyResponse(const CallHeaderNames &headerNames, const ResponseFacts &facts);

}
