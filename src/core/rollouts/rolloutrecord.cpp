#include "core/rollouts/rolloutrecord.h"

#include "core/rollouts/rolloutlimits.h"

#include <algorithm>

namespace Galenahill {

std::string toString(RolloutStage stage)
{
    switch (stage) {
    case RolloutStage::Running:
        return "running";
    case RolloutStage::Promoting:
        return "promoting";
    case RolloutStage::CutOff:
        return "cut-off";
    case RolloutStage::RolledBack:
        return "rolled-back";
    case RolloutStage::Succeeded:
        return "succeeded";
    }
    return "unknown";
}

bool isFinal(RolloutStage stage)
{
    return stage >= RolloutStage::RolledBack;
}

RolloutMerge mergeRollout(RolloutRecord &held, const RolloutRecord &heard)
{
    if (!(heard.order == held.order)) {
        if (heard.seen <= held.seen) {
            return RolloutMerge::Nothing;
        }
        held = heard;
        return RolloutMerge::Order;
    }
    held.seen = std::max(held.seen, heard.seen);
    held.ageMs = std::max(held.ageMs, heard.ageMs);
    if (heard.stage == RolloutStage::Promoting && held.stage == RolloutStage::Promoting) {
        held.promotedAtMs = std::min(held.promotedAtMs, heard.promotedAtMs);
    }
    if (heard.stage <= held.stage) {
        return RolloutMerge::Nothing;
    }
    held.stage = heard.stage;
    held.promotedAtMs = heard.promotedAtMs;
    held.reason = heard.reason;
    return RolloutMerge::Stage;
}

bool isPlausible(const RolloutRecord &record)
{
    const auto &order = record.order;
    const bool named = !order.service.value().empty() && order.service.value().size() <= RolloutLimits::MaxNameBytes && !order.version.value().empty()
        && order.version.value().size() <= RolloutLimits::MaxNameBytes;
    const bool inTime = order.duration >= RolloutLimits::MinDuration && order.duration <= RolloutLimits::MaxDuration;
    return named && inTime && record.stage <= RolloutStage::Succeeded && record.promotedAtMs <= record.ageMs
        && record.reason.size() <= RolloutLimits::MaxReasonBytes;
}

}
