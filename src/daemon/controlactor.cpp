#include "daemon/controlactor.h"

#include "daemon/controlmessages.h"

namespace Galenahill {

caf::behavior controlActor(caf::stateful_actor<ControlState> *self, FleetControlOptions options)
{
    self->state.fleet = std::make_unique<FleetControl>(std::move(options));
    auto *fleet = self->state.fleet.get();
    self->delayed_send(self, FleetControl::TickInterval, ControlTick{});
    return {
        [=](const ControlTick &tick) {
            fleet->tick();
            self->delayed_send(self, FleetControl::TickInterval, tick);
        },
        [=](const DatagramReceived &datagram) { fleet->datagramReceived(datagram.from, datagram.bytes); },
        [=](const TargetStateChanged &change) { fleet->targetStateChanged(change.state); },
        [=](const MembersReceived &received) { fleet->membersReceived(received.members); },
        [=](const RevisionReceived &received) { fleet->revisionReceived(received.revision, received.source); },
        [=](const PullEnded &ended) { fleet->pullEnded(ended.peer); },
        [=](const StoreAnswered &response) { fleet->storeAnswered(response.revision); },
        [=](const StoreFailed &) { fleet->storeFailed(); },
        [=](const LeaveFleet &) { fleet->leave(); },
    };
}

}
