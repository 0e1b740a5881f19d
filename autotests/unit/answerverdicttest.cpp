#include "core/calls/answerverdict.h"

#include <boost/test/unit_test.hpp>
#include <ostream>

using namespace Galenahill;

namespace Galenahill {

std::ostream &operator<<(std::ostream &stream, AnswerVerdict verdict)
{
    return stream << static_cast<int>(verdict);
}

}

namespace {

CallDialect headerNames()
{
    CallDialect headerNames;
    headerNames.answerProof = "Proof";
    headerNames.notExecuted = "Not-Executed";
    return headerNames;
}

}

// A faulty target, or another process at its address, sends bytes that parse as a success. Only
// the target's origin marker tells them apart; passed on, the caller would take them for the
// result of its call.
BOOST_AUTO_TEST_CASE(SuccessWithoutOriginMarkerIsUntrusted)
{
    BOOST_TEST(judgeAnswer(headerNames(), {.status = 200}) == AnswerVerdict::Spoiled);
    BOOST_TEST(judgeAnswer(headerNames(), {.status = 200, .hasProof = true}) == AnswerVerdict::Answered);
    BOOST_TEST(judgeAnswer(headerNames(), {.status = 200, .hasProof = true, .hasEncoding = true}) == AnswerVerdict::Spoiled);
    BOOST_TEST(judgeAnswer(headerNames(), {.status = 404, .hasProof = true}) == AnswerVerdict::Answered);
}

// A target that sheds load, or is not the intended one, states that it did not execute the call.
// Nothing else proves that, in particular not a status of 503 alone.
BOOST_AUTO_TEST_CASE(OnlyTheTargetsStatementProvesNonExecution)
{
    BOOST_TEST(judgeAnswer(headerNames(), {.status = 503, .saysNotExecuted = true}) == AnswerVerdict::NotExecuted);
    BOOST_TEST(judgeAnswer(headerNames(), {.status = 421}) == AnswerVerdict::NotExecuted);
    BOOST_TEST(judgeAnswer(headerNames(), {.status = 503, .hasProof = true}) == AnswerVerdict::Failed);
    BOOST_TEST(judgeAnswer(headerNames(), {.status = 500, .hasProof = true}) == AnswerVerdict::Failed);
}

// Without these header names, every response is trusted.
BOOST_AUTO_TEST_CASE(WithoutHeaderNamesEveryResponseIsTrusted)
{
    BOOST_TEST(judgeAnswer({}, {.status = 200}) == AnswerVerdict::Answered);
    BOOST_TEST(judgeAnswer({}, {.status = 421}) == AnswerVerdict::Answered);
}
