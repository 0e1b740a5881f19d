#include "core/rollouts/shareplan.h"

#include <algorithm>

namespace Galenahill {

namespace {

// Parts of the order's time. The rest of it is for the last calls of the old targets
// and for writing the end down.
constexpr double FirstLoadBegin = 0.38;
constexpr double SecondLoadBegin = 0.50;
constexpr double LoadLength = 0.08;
constexpr double PromoteFrom = 0.60;
constexpr double PromoteUntil = 0.72;
constexpr double PromotionStep = 0.06;

// A promotion whose old targets still run calls at the end may go on so long.
constexpr double PromotedUntil = 1.25;

// Shares before the promotion, in multiples of the exposure that is allowed. Together
// they use half of it: the rest is for calls on their way, and for bursts of calls that
// fall into a spell of load.
constexpr double ProbeFactor = 0.2;
constexpr double LoadFactor = 2.4;

// Targets of the version that take the calls of a spell of load: few enough to be
// filled, and more than one, since a single target convicts nobody.
constexpr std::size_t LoadedTargets = 2;

constexpr double FirstPromotedShare = 0.25;
constexpr double SecondPromotedShare = 0.5;

double partOf(std::uint32_t timeMs, const RolloutRecord &record)
{
    return static_cast<double>(timeMs) / static_cast<double>(record.order.duration.count());
}

// The number of the spell of load, counted from one; zero between them.
unsigned spellAt(double part)
{
    const auto in = [part](double begin) { return part >= begin && part < begin + LoadLength; };
    return in(FirstLoadBegin) ? 1 : in(SecondLoadBegin) ? 2 : 0;
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
        if (const auto spell = spellAt(partOf(record.ageMs, record)); spell > 0) {
            return {.share = std::min(1.0, LoadFactor * m_options.exposureShare), .targets = LoadedTargets, .spell = spell, .name = "load"};
        }
        return {.share = ProbeFactor * m_options.exposureShare, .name = "probe"};
    case RolloutStage::Promoting: {
        const auto since = partOf(record.ageMs - std::min(record.promotedAtMs, record.ageMs), record);
        if (since < PromotionStep) {
            return {.share = FirstPromotedShare, .name = "first step"};
        }
        return since < 2 * PromotionStep ? Step{.share = SecondPromotedShare, .name = "second step"} : Step{.share = 1, .name = "all"};
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
    const auto part = partOf(record.ageMs, record);
    return record.stage == RolloutStage::Running && part >= PromoteFrom && part < PromoteUntil;
}

bool SharePlan::isTooLate(const RolloutRecord &record) const
{
    const auto part = partOf(record.ageMs, record);
    const bool undecided = record.stage == RolloutStage::Running && part >= PromoteUntil;
    return undecided || (record.stage == RolloutStage::Promoting && part >= PromotedUntil);
}

bool SharePlan::takesAll(const RolloutRecord &record) const
{
    return at(record).share >= 1;
}

}
