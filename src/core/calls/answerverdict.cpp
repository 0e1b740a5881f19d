#include "core/calls/answerverdict.h"

namespace Galenahill {

namespace {

constexpr unsigned Misdirected = 421;

bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

}

AnswerVerdict judgeAnswer(const CallDialect &dialect, const AnswerFacts &facts)
{
    if (!dialect.notExecuted.empty() && (facts.saysNotExecuted || facts.status == Misdirected)) {
        return AnswerVerdict::NotExecuted;
    }
    if (!dialect.answerProof.empty()) {
        // A faulty target sends bytes that parse as an answer. Passed on, the
        // caller would take them for the result of its call.
        const bool falseSuccess = isSuccess(facts.status) && (!facts.hasProof || facts.hasEncoding);
        if (falseSuccess) {
            return AnswerVerdict::Spoiled;
        }
    }
    return facts.status >= 500 ? AnswerVerdict::Failed : AnswerVerdict::Answered;
}

}
