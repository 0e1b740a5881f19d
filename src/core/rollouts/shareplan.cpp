#include "core/rollouts/shareplan.h"

#include <algorithm>

namespace Galenahill {

namespace {

// Fractions of the rollout's duration. The remainder is for the last calls of the old targets and
// for writing the final stage to the store.
constexpr double FirstLoadPhaseBegin = 0.38;
constexpr double SecondLoadPhaseBegin = 0.50;
constexpr double LoadPhaseLength = 0.08;
constexpr double PromotionWindowBegin = 0.60;
constexpr double PromotionWindowEnd = 0.72;
constexpr double PromotionStepLength = 0.06;

// Limit for a promotion whose old targets still run calls at the end of the duration.
constexpr double PromotionLimit = 1.25;

// Shares before the promotion, as multiples of the allowed exposure. Together they use half of it:
// the rest is for calls in flight and for bursts of calls during a load phase.
constexpr double ProbeFactor = 0.2;
constexpr double LoadFactor = 2.4;

// Targets of the new version that run the calls of a load phase: few enough to be loaded fully, and
// more than one because a single target never suffices to reject its version.
constexpr std::size_t LoadPhaseTargets = 2;

constexpr double FirstPromotedShare = 0.25;
constexpr double SecondPromotedShare = 0.5;

double fractionOf(std::uint32_t timeMs, const RolloutRecord &record)
{
    return static_cast<double>(timeMs) / static_cast<double>(record.spec.duration.count());
}

// The number of the load phase, counted from one; zero outside of them.
unsigned loadPhaseAt(double fraction)
{
    const auto within = [fraction](double begin) { return fraction >= begin && fraction < begin + LoadPhaseLength; };
    return within(FirstLoadPhaseBegin) ? 1 : within(SecondLoadPhaseBegin) ? 2 : 0;
}

}

SharePlan::SharePlan(Options options)
    : m_options(options)
{
}

SharePlan::Step SharePlan::at(const RolloutRecord &record) const
{
    switch (record.stage) {
    case RolloutStage::Running:
        if (const auto phase = loadPhaseAt(fractionOf(record.ageMs, record)); phase > 0) {
            return {.share = std::min(1.0, LoadFactor * m_options.exposureShare), .targets = LoadPhaseTargets, .loadPhase = phase, .name = "load"};
        }
        return {.share = ProbeFactor * m_options.exposureShare, .name = "probe"};
    case RolloutStage::Promoting: {
        const auto since = fractionOf(record.ageMs - std::min(record.promotedAtMs, record.ageMs), record);
        if (since < PromotionStepLength) {
            return {.share = FirstPromotedShare, .name = "first step"};
        }
        return since < 2 * PromotionStepLength ? Step{.share = SecondPromotedShare, .name = "second step"} : Step{.share = 1, .name = "all"};
    }
    case RolloutStage::CutOff:
    case RolloutStage::RolledBack:
        return {.share = 0, .name = "none"};
    case RolloutStage::Succeeded:
        return {.share = 1, .name = "all"};
    }
    return {};
}

bool SharePlan::mayPromote(const RolloutRecord &record) const
{
    const auto fraction = fractionOf(record.ageMs, record);
    return record.stage == RolloutStage::Running && fraction >= PromotionWindowBegin && fraction < PromotionWindowEnd;
}

bool SharePlan::isTooLate(const RolloutRecord &record) const
{
    const auto fraction = fractionOf(record.ageMs, record);
    const bool undecided = record.stage == RolloutStage::Running && fraction >= PromotionWindowEnd;
    return undecided || (record.stage == RolloutStage::Promoting && fraction >= PromotionLimit);
}

bool SharePlan::takesAll(const RolloutRecord &record) const
{
    return at(record).share >= 1;
}

}
