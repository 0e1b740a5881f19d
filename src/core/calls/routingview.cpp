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

const CanaryVersion *RoutingView::canaryOf(const ServiceName &service) const
{
    const auto found = canaries.find(service);
    return found == canaries.end() ? nullptr : &found->second;
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
    const bool hasVersion = member.version == version;
    if (hasVersion && mode == Mode::Canary) {
        auto &canary = canaries[member.service];
        canary.version = version;
        canary.share = share;
        if (chosen.empty() || std::find(chosen.begin(), chosen.end(), member.name) != chosen.end()) {
            canary.targets.push_back(member);
        }
    } else if (hasVersion == (mode == Mode::Only)) {
        targets[member.service].push_back(member);
    }
}

std::shared_ptr<const RoutingView> RoutingView::build(
    std::shared_ptr<const ConfigRevision> config, const std::vector<MemberRecord> &members, const VersionRules &rules)
{
    auto view = std::make_shared<RoutingView>();
    std::unordered_set<ServiceName> hasTargets;
    for (const auto &member : members) {
        const bool acceptsCalls = member.state == MemberState::Ready || member.state == MemberState::Suspect;
        if (acceptsCalls && config && config->snapshot->service(member.service) != nullptr) {
            view->add(member, rules);
            hasTargets.insert(member.service);
        }
    }
    // Members that were declared gone but did not leave are the last resort of a service without other
    // targets: a mass loss is more often a network failure than the end of all targets, and a call to
    // a dead target is rejected as not executed.
    for (const auto &member : members) {
        const bool lastResort = member.state == MemberState::Gone && config && config->snapshot->service(member.service) != nullptr;
        if (lastResort && !hasTargets.contains(member.service)) {
            view->add(member, rules);
        }
    }
    view->config = std::move(config);
    return view;
}

}
