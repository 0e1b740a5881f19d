#include "core/routingview.h"

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
    for (const auto &member : members) {
        const bool takesCalls = member.state == MemberState::Ready || member.state == MemberState::Suspect;
        if (takesCalls && config && config->snapshot->service(member.service) != nullptr) {
            view->targets[member.service].push_back(member);
        }
    }
    view->config = std::move(config);
    return view;
}

}
