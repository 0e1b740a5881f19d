#include "daemon/calls/attemptrace.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

using Side = AttemptRace::Side;

// A race of an attempt whose replacement has been offered.
AttemptRace offered()
{
    AttemptRace race;
    race.replacementOffered();
    return race;
}

}

BOOST_AUTO_TEST_SUITE(attemptrace)

// Guards against offering the call to a third target while the second one may run it.
BOOST_AUTO_TEST_CASE(OffersOneReplacementAtATime)
{
    AttemptRace race;
    BOOST_TEST(race.mayOffer());
    race.replacementOffered();
    BOOST_TEST(!race.mayOffer());
    race.replacementEnded(AttemptResult::NotRun);
    BOOST_TEST(race.mayOffer());
    race.replacementOffered();
    race.replacementEnded(AttemptResult::OutcomeUnknown);
    BOOST_TEST(!race.mayOffer());
}

// Guards against offering a replacement for an attempt that has ended or responds already.
BOOST_AUTO_TEST_CASE(OffersNothingOnceTheFirstAttemptHasEndedOrResponds)
{
    AttemptRace failed;
    failed.firstEnded(AttemptResult::Failed);
    BOOST_TEST(!failed.mayOffer());
    AttemptRace streaming;
    BOOST_TEST(streaming.tryWin(Side::First));
    BOOST_TEST(!streaming.mayOffer());
}

// Guards against two responses to one call.
BOOST_AUTO_TEST_CASE(OnlyOneSideWins)
{
    auto race = offered();
    BOOST_TEST(race.tryWin(Side::Replacement));
    BOOST_TEST(!race.tryWin(Side::First));
    BOOST_TEST(race.tryWin(Side::Replacement));
    race.firstEnded(AttemptResult::Answered);
    race.replacementEnded(AttemptResult::Failed);
    BOOST_TEST((race.decisive() == Side::Replacement));
    BOOST_TEST((race.otherResult() == AttemptResult::Answered));
}

// Guards against losing a response to the other attempt's failure.
BOOST_AUTO_TEST_CASE(AnAnswerWinsOverAnyFailure)
{
    for (const auto failure : {AttemptResult::Failed, AttemptResult::Overloaded, AttemptResult::OutcomeUnknown, AttemptResult::NotRunByTarget}) {
        auto first = offered();
        first.replacementEnded(failure);
        BOOST_TEST(!first.winner().has_value());
        first.firstEnded(AttemptResult::Answered);
        BOOST_TEST((first.decisive() == Side::First));
        auto replacement = offered();
        replacement.firstEnded(failure);
        BOOST_TEST(!replacement.winner().has_value());
        replacement.replacementEnded(AttemptResult::Answered);
        BOOST_TEST((replacement.decisive() == Side::Replacement));
    }
}

// Guards against reporting a call as not run, or as one without a response, although a target ran it or
// told its error.
BOOST_AUTO_TEST_CASE(WithoutAnAnswerTheMoreTellingResultDecides)
{
    const auto order = {AttemptResult::NotRun,
        AttemptResult::KeyRevoked,
        AttemptResult::NotRunByTarget,
        AttemptResult::OutcomeUnknown,
        AttemptResult::Overloaded,
        AttemptResult::Failed};
    for (const auto *less = order.begin(); less != order.end(); ++less) {
        for (const auto *more = less; more != order.end(); ++more) {
            auto race = offered();
            race.firstEnded(*less);
            race.replacementEnded(*more);
            BOOST_TEST((race.decisive() == (less == more ? Side::First : Side::Replacement)));
            BOOST_TEST((race.otherResult() == *less));
            auto swapped = offered();
            swapped.firstEnded(*more);
            swapped.replacementEnded(*less);
            BOOST_TEST((swapped.decisive() == Side::First));
            BOOST_TEST((swapped.otherResult() == *less));
        }
    }
}

// Guards against counting an attempt that was never made.
BOOST_AUTO_TEST_CASE(HasNoOtherResultWithoutReplacement)
{
    AttemptRace race;
    race.firstEnded(AttemptResult::OutcomeUnknown);
    BOOST_TEST((race.decisive() == Side::First));
    BOOST_TEST(!race.otherResult().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
