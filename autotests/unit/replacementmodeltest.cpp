#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <utility>
#include <vector>

// Compares what becomes of slow attempts, by a model without queues: attempts that exceed the attempt
// timeout are offered to further targets, each of which rejects the offer or accepts it, and then answers
// or fails.

namespace {

// Seconds of a call.
constexpr double Timeout = 2.0;
constexpr double AttemptTimeout = 1.0;
constexpr double OfferInterval = 0.05;
constexpr int MaxOffers = 2;
constexpr int Calls = 100000;
constexpr int Seeds = 10;

enum class Variant {
    // The first attempt is cancelled before its retry is offered.
    CancelFirst,
    // The first attempt is cancelled when a target has accepted the replacement.
    CancelOnceAccepted,
    // Both attempts run until one of them is answered.
    RunBoth,
};

struct Load
{
    std::string name;
    double rejected = 0;
    double failing = 0;
    double slow = 0.05;
    // Share of slow targets among those that get the replacement.
    double slowElsewhere = 0.05;
};

struct Counts
{
    double lost = 0;
    double targetTime = 0;
    double sent = 0;
};

// When the target's work ends, and whether it answers then.
struct Run
{
    double end = 0;
    bool answers = true;
};

class Model
{
public:
    Model(const Load &load, unsigned seed)
        : m_load(load)
        , m_random(seed)
    {
    }

    void call(Variant variant, Counts &counts)
    {
        const auto first = run(0, m_load.slow, 0);
        ++counts.sent;
        const double acceptedAt = first.end <= AttemptTimeout ? Timeout : offer(variant, first);
        if (acceptedAt >= Timeout) {
            const bool cancelled = first.end > AttemptTimeout && variant == Variant::CancelFirst;
            counts.lost += cancelled || first.end > Timeout ? 1 : 0;
            counts.targetTime += cancelled ? AttemptTimeout : std::min(first.end, Timeout);
            return;
        }
        const auto second = run(acceptedAt, m_load.slowElsewhere, m_load.failing);
        ++counts.sent;
        const double secondEnd = std::min(second.end, Timeout);
        const bool secondAnswers = second.answers && second.end <= Timeout;
        if (variant == Variant::RunBoth) {
            const double firstAnswered = first.end <= Timeout ? first.end : Timeout;
            const double ended = secondAnswers ? std::min(firstAnswered, secondEnd) : firstAnswered;
            counts.targetTime += ended + std::max(std::min(secondEnd, ended) - acceptedAt, 0.0);
            counts.lost += first.end > Timeout && !secondAnswers ? 1 : 0;
            return;
        }
        counts.targetTime += (variant == Variant::CancelFirst ? AttemptTimeout : acceptedAt) + secondEnd - acceptedAt;
        counts.lost += secondAnswers ? 0 : 1;
    }

private:
    double uniform(double from, double to)
    {
        return std::uniform_real_distribution<double>(from, to)(m_random);
    }

    Run run(double begin, double slowShare, double failing)
    {
        const bool isSlow = uniform(0, 1) < slowShare;
        const double time = isSlow ? uniform(0.8, 3.0) : 0.05 + std::exponential_distribution<double>(1 / 0.3)(m_random);
        const bool fails = uniform(0, 1) < failing;
        return {begin + (fails ? time * uniform(0, 1) : time), !fails};
    }

    // When a target accepts the call; the timeout if none does while the first attempt runs.
    double offer(Variant variant, const Run &first)
    {
        for (int i = 0; i < MaxOffers; ++i) {
            const double time = AttemptTimeout + (variant == Variant::CancelFirst ? 0 : i * OfferInterval);
            if (variant != Variant::CancelFirst && time >= first.end) {
                break;
            }
            if (uniform(0, 1) >= m_load.rejected) {
                return time;
            }
        }
        return Timeout;
    }

    Load m_load;
    std::mt19937_64 m_random;
};

Counts play(const Load &load, Variant variant)
{
    Counts counts;
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        Model model(load, seed);
        for (int i = 0; i < Calls / Seeds; ++i) {
            model.call(variant, counts);
        }
    }
    return counts;
}

const std::vector<Load> Loads = {{.name = "slow targets, others free"},
    {.name = "a third of the offers rejected", .rejected = 0.33, .failing = 0.02},
    {.name = "two thirds of the offers rejected", .rejected = 0.67, .failing = 0.02},
    {.name = "a fifth of the targets fail", .rejected = 0.33, .failing = 0.2},
    {.name = "the whole service is slow", .rejected = 0.33, .failing = 0.02, .slow = 0.3, .slowElsewhere = 0.3}};

}

BOOST_AUTO_TEST_SUITE(replacementmodel)

// Guards against giving up the first attempt before the response of the other one is there: the failure of
// the second target then loses the work of the first.
BOOST_AUTO_TEST_CASE(RunningBothLosesTheFewestCalls)
{
    for (const auto &load : Loads) {
        const auto cancelled = play(load, Variant::CancelFirst);
        const auto accepted = play(load, Variant::CancelOnceAccepted);
        const auto both = play(load, Variant::RunBoth);
        for (const auto &[name, counts] : {std::pair("cancel first", cancelled), {"cancel once accepted", accepted}, {"run both", both}}) {
            BOOST_TEST_MESSAGE(load.name << ", " << name << ": lost " << counts.lost / Calls << ", target time " << counts.targetTime / Calls << " s, sent "
                                         << counts.sent / Calls);
        }
        BOOST_TEST(both.lost < accepted.lost);
        BOOST_TEST(accepted.lost <= cancelled.lost);
    }
}

BOOST_AUTO_TEST_SUITE_END()
