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

RolloutMerge mergeRollout(RolloutRecord &local, const RolloutRecord &remote)
{
    if (!(remote.spec == local.spec)) {
        if (remote.storeVersion <= local.storeVersion) {
            return RolloutMerge::Nothing;
        }
        local = remote;
        return RolloutMerge::Spec;
    }
    local.storeVersion = std::max(local.storeVersion, remote.storeVersion);
    local.ageMs = std::max(local.ageMs, remote.ageMs);
    if (remote.stage == RolloutStage::Promoting && local.stage == RolloutStage::Promoting) {
        local.promotedAtMs = std::min(local.promotedAtMs, remote.promotedAtMs);
    }
    if (remote.stage <= local.stage) {
        return RolloutMerge::Nothing;
    }
    local.stage = remote.stage;
    local.promotedAtMs = remote.promotedAtMs;
    local.reason = remote.reason;
    return RolloutMerge::Stage;
}

bool isValidRecord(const RolloutRecord &record)
{
    const auto &spec = record.spec;
    const bool namesValid = !spec.service.value().empty() && spec.service.value().size() <= RolloutLimits::MaxNameBytes && !spec.version.value().empty()
        && spec.version.value().size() <= RolloutLimits::MaxNameBytes;
    const bool durationValid = spec.duration >= RolloutLimits::MinDuration && spec.duration <= RolloutLimits::MaxDuration;
    return namesValid && durationValid && record.stage <= RolloutStage::Succeeded && record.promotedAtMs <= record.ageMs
        && record.reason.size() <= RolloutLimits::MaxReasonBytes;
}

}
