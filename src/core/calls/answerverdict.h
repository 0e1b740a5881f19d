#pragma once

#include "core/calls/calldialect.h"

namespace Galenahill {

// What a target's response says about the call.
enum class AnswerVerdict {
    // The target executed the call, and this is its complete response, successful or not.
    Answered,
    // The target states that it did not execute the call.
    NotExecuted,
    // The target failed while or after it executed the call.
    Failed,
    // The target did not produce this response; the call may have been executed.
    Spoiled,
};

// The parts of a response that decide the verdict.
struct AnswerFacts
{
    unsigned status = 0;
    bool hasProof = false;
    bool saysNotExecuted = false;
    // The response has a content encoding. Callers accept none, so something altered the body on the way.
    bool hasEncoding = false;
};

// Classifies a complete response. If the header names define no origin marker, every response
// counts as the target's own.
AnswerVerdict judgeAnswer(const CallDialect &headerNames, const AnswerFacts &facts);

}
