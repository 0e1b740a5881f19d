#include "daemon/calls/callrouter.h"

#include "core/quarantine/suspecttarget.h"

#include <algorithm>

namespace Galenahill {

namespace {

// Ends of a service's targets within this time after which calls are no longer retried because of them: these many, or
// this fraction of the targets. Limits the harm of requests whose repeats differ.
constexpr Milliseconds EndWindow{10000};
constexpr std::size_t MaxRecentEnds = 2;
constexpr std::size_t TargetsPerRecentEnd = 4;

// A retry after an end leaves at least one other target.
constexpr std::ptrdiff_t MinOtherTargets = 2;

}

bool CallRouter::isSuspect(const IngressCall &call) const
{
    const auto *quarantine = m_options.quarantine;
    return quarantine != nullptr && (call.targetEnds > 0 || quarantine->table().standing(call.digest, Clock::now()) != RequestStanding::Clear);
}

bool CallRouter::isQuarantined(const IngressCall &call) const
{
    const auto *quarantine = m_options.quarantine;
    return quarantine != nullptr && (call.statedQuarantined || quarantine->table().standing(call.digest, Clock::now()) == RequestStanding::Quarantined);
}

bool CallRouter::mayRetryAfterEnd(const IngressCall &call) const
{
    const auto &targets = call.view->targetsOf(call.service);
    const auto others = std::count_if(targets.begin(), targets.end(), [&call](const MemberRecord &target) {
        return target.name != call.lastTarget
            && std::find(call.excludedFromRetry.begin(), call.excludedFromRetry.end(), target.name) == call.excludedFromRetry.end();
    });
    const auto recent = m_options.quarantine->table().recentEnds(call.service, EndWindow, Clock::now());
    return others >= MinOtherTargets && recent <= std::max(MaxRecentEnds, targets.size() / TargetsPerRecentEnd);
}

// One target only, so that copies of the request do not run at several targets. The call may wait there for other
// suspects.
Offer CallRouter::chooseForSuspect(IngressCall &call) const
{
    if (call.suspectOffered) {
        return {};
    }
    call.suspectOffered = true;
    call.canary = nullptr;
    auto ended = m_options.quarantine->table().endedNodes(call.digest, Clock::now());
    ended.insert(ended.end(), call.excludedFromRetry.begin(), call.excludedFromRetry.end());
    const auto *target = targetForSuspect(call.digest, call.view->targetsOf(call.service), ended);
    if (target != nullptr) {
        call.offers.queuedAt.push_back(target->name);
    }
    return {target, true};
}

}
