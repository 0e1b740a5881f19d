#include "core/calls/routingview.h"

#include <unordered_set>

namespace Galenahill {

const std::vector<MemberRecord> &RoutingView::targetsOf(const ServiceName &service) const
{
    static const std::vector<MemberRecord> none;
    const auto found = targets.find(service);
    return found == targets.end() ? none : found->second;
}

std::shared_ptr<const RoutingView> RoutingView::build(std::shared_ptr<const ConfigRevision> config, const std::vector<MemberRecord> &members)
{
    auto view = std::make_shared<RoutingView>();
    std::unordered_set<ServiceName> hasOther;
    for (const auto &member : members) {
        const bool takesCalls = member.state == MemberState::Ready || member.state == MemberState::Suspect;
        if (takesCalls && config && config->snapshot->service(member.service) != nullptr) {
            view->targets[member.service].push_back(member);
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
            view->targets[member.service].push_back(member);
        }
    }
    view->config = std::move(config);
    return view;
}

}
