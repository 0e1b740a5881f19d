#pragma once

#include "core/calls/calldialect.h"

namespace Galenahill {

// What a target's answer says about the call.
enum class AnswerVerdict {
    // It ran, and this is its whole answer, success or not.
    Answered,
    // The target says that it didn't run the call.
    NotExecuted,
    // The target failed while or after it ran the call.
    Failed,
    // Not the target's answer; the call may have run.
    Spoiled,
};

// The parts of an answer that tell.
struct AnswerFacts
{
    unsigned status = 0;
    bool hasProof = false;
    bool saysNotExecuted = false;
    // The body was changed on the way, since callers ask for none such.
    bool hasEncoding = false;
};

// Judges a whole answer. Without a field for proof in the dialect, every
// answer counts as the target's own.
AnswerVerdict judgeAnswer(const CallDialect &dialect, const AnswerFacts &facts);

}
