#include "core/calls/answerverdict.h"

namespace Galenahill {

namespace {

constexpr unsigned Misdirected = 421;

bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

}

AnswerVerdict judgeAnswer(const CallDialect &headerNames, const AnswerFacts &facts)
{
    if (!headerNames.notExecuted.empty() && (facts.saysNotExecuted || facts.status == Misdirected)) {
        return AnswerVerdict::NotExecuted;
    }
    if (!headerNames.answerProof.empty()) {
        // A faulty target, or another process at its address, may send bytes that parse as a response;
        // the caller would take them for the result of its call.
        const bool falseSuccess = isSuccess(facts.status) && (!facts.hasProof || facts.hasEncoding);
        if (falseSuccess) {
            return AnswerVerdict::Spoiled;
        }
    }
    return facts.status >= 500 ? AnswerVerdict::Failed : AnswerVerdict::Answered;
}

}
