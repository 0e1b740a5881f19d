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

CallDialect dialect()
{
    CallDialect dialect;
    dialect.answerProof = "Proof";
    dialect.notExecuted = "Not-Executed";
    return dialect;
}

}

// A faulty target, or another process at its address, sends bytes that parse as
// a success. Only the target's own mark tells them apart; passed on, the caller
// would take them for the result of its call.
BOOST_AUTO_TEST_CASE(SuccessWithoutProofIsSpoilt)
{
    BOOST_TEST(judgeAnswer(dialect(), {.status = 200}) == AnswerVerdict::Spoiled);
    BOOST_TEST(judgeAnswer(dialect(), {.status = 200, .hasProof = true}) == AnswerVerdict::Answered);
    BOOST_TEST(judgeAnswer(dialect(), {.status = 200, .hasProof = true, .hasEncoding = true}) == AnswerVerdict::Spoiled);
    BOOST_TEST(judgeAnswer(dialect(), {.status = 404, .hasProof = true}) == AnswerVerdict::Answered);
}

// A target that sheds, or isn't the one that was meant, says that it didn't run
// the call. Nothing else proves that: not a 503 alone.
BOOST_AUTO_TEST_CASE(OnlyTheTargetsWordProvesThatItDidNotRun)
{
    BOOST_TEST(judgeAnswer(dialect(), {.status = 503, .saysNotExecuted = true}) == AnswerVerdict::NotExecuted);
    BOOST_TEST(judgeAnswer(dialect(), {.status = 421}) == AnswerVerdict::NotExecuted);
    BOOST_TEST(judgeAnswer(dialect(), {.status = 503, .hasProof = true}) == AnswerVerdict::Failed);
    BOOST_TEST(judgeAnswer(dialect(), {.status = 500, .hasProof = true}) == AnswerVerdict::Failed);
}

// Targets that know no such fields are believed.
BOOST_AUTO_TEST_CASE(WithoutTheFieldsEachAnswerCounts)
{
    BOOST_TEST(judgeAnswer({}, {.status = 200}) == AnswerVerdict::Answered);
    BOOST_TEST(judgeAnswer({}, {.status = 421}) == AnswerVerdict::Answered);
}
