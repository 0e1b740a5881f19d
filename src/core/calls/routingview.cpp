#include "core/calls/routingview.h"

#include <algorithm>
#include <unordered_set>

namespace Galenahill {

const std::vector<MemberRecord> &RoutingView::targetsOf(const ServiceName &service) const
{
    static const std::vector<MemberRecord> none;
    const auto found = targets.find(service);
    return found == targets.end() ? none : found->second;
}

const VersionTrial *RoutingView::trialOf(const ServiceName &service) const
{
    const auto found = trials.find(service);
    return found == trials.end() ? nullptr : &found->second;
}

void RoutingView::add(const MemberRecord &member, const VersionRules &rules)
{
    const auto rule = rules.find(member.service);
    if (rule == rules.end()) {
        targets[member.service].push_back(member);
        return;
    }
    using Mode = VersionRule::Mode;
    const auto &[version, mode, share, chosen] = rule->second;
    const bool ofVersion = member.version == version;
    if (ofVersion && mode == Mode::Trial) {
        auto &trial = trials[member.service];
        trial.version = version;
        trial.share = share;
        if (chosen.empty() || std::find(chosen.begin(), chosen.end(), member.name) != chosen.end()) {
            trial.targets.push_back(member);
        }
    } else if (ofVersion == (mode == Mode::Only)) {
        targets[member.service].push_back(member);
    }
}

std::shared_ptr<const RoutingView> RoutingView::build(
    std::shared_ptr<const ConfigRevision> config, const std::vector<MemberRecord> &members, const VersionRules &rules)
{
    auto view = std::make_shared<RoutingView>();
    std::unordered_set<ServiceName> hasOther;
    for (const auto &member : members) {
        const bool takesCalls = member.state == MemberState::Ready || member.state == MemberState::Suspect;
        if (takesCalls && config && config->snapshot->service(member.service) != nullptr) {
            view->add(member, rules);
            hasOther.insert(member.service);
        }
    }
    // Members that were given up but didn't leave: with no other target of
    // the service they are the last resort, since a mass loss is more often a
    // network fault than the end of all targets, and a call to a dead one is
    // refused as not run.
    for (const auto &member : members) {
        const bool lastResort = member.state == MemberState::Gone && config && config->snapshot->service(member.service) != nullptr;
        if (lastResort && !hasOther.contains(member.service)) {
            view->add(member, rules);
        }
    }
    view->config = std::move(config);
    return view;
}

}
