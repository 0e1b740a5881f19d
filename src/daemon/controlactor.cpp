#include "daemon/controlactor.h"

#include "adapters/codec/binarycodec.h"
#include "core/fleet/membership.h"
#include "core/fleet/readinessgate.h"
#include "core/fleet/rendezvous.h"
#include "core/fleet/revisionpuller.h"
#include "daemon/controlmessages.h"

namespace Galenahill {

namespace {

// Half as many wake-ups as the membership would take; news of its own leave a
// node at once, whatever the interval.
constexpr Milliseconds TickInterval{100};

}

class ControlState::Private
{
public:
    explicit Private(ControlOptions given)
        : options(std::move(given))
        , membership(membershipOptions())
        , puller({.pull = [this](const Endpoint &peer) { options.pull(peer); }, .held = [this] { return options.state->revisions.revision(); }})
    {
    }

    ControlOptions options;
    Membership membership;
    RevisionPuller puller;
    ReadinessGate gate;
    bool open = false;
    bool viewOutdated = true;

    Membership::Options membershipOptions();
    void revisionHeard(const Endpoint &member, Revision revision);
    void revisionReceived(const std::shared_ptr<const ConfigRevision> &revision);
    void tick();
    void publish();
};

ControlState::ControlState() = default;
ControlState::~ControlState() = default;

Membership::Options ControlState::Private::membershipOptions()
{
    Membership::Options membershipOptions;
    membershipOptions.self = options.self;
    membershipOptions.seed = options.seed;
    if (options.prefer == GossipPreference::Bytes) {
        membershipOptions.fanOut = 2;
        membershipOptions.revisionRounds = 1;
        membershipOptions.gossipInterval = Milliseconds(200);
        membershipOptions.probeInterval = Milliseconds(2000);
    }
    if (options.fanOut > 0) {
        membershipOptions.fanOut = options.fanOut;
    }
    membershipOptions.send = options.send;
    membershipOptions.changed = [this] { viewOutdated = true; };
    membershipOptions.revision = [this] { return options.state->revisions.revision(); };
    membershipOptions.revisionHeard = [this](const Endpoint &member, Revision revision) { revisionHeard(member, revision); };
    return membershipOptions;
}

void ControlState::Private::revisionHeard(const Endpoint &member, Revision revision)
{
    auto &highest = options.state->highestKnown;
    highest = std::max(highest.load(), revision.value());
    gate.memberHeard(member, revision);
    puller.heard(member, revision, Clock::now());
}

void ControlState::Private::revisionReceived(const std::shared_ptr<const ConfigRevision> &revision)
{
    const auto number = revision->revision().value();
    switch (options.state->revisions.offer(revision)) {
    case RevisionHolder::Verdict::Taken:
        options.state->highestKnown = std::max(options.state->highestKnown.load(), number);
        options.log(LogLevel::Info, "revision-in-force", {{"revision", number}, {"digest", revision->digest.value()}});
        // The new view goes first: when a peer hears of the revision, this
        // node already serves it.
        publish();
        membership.announceRevision(Clock::now());
        break;
    case RevisionHolder::Verdict::Older:
        options.log(LogLevel::Warning, "older-revision-refused", {{"offered", number}, {"in_force", options.state->revisions.revision().value()}});
        break;
    case RevisionHolder::Verdict::Forked:
        options.log(LogLevel::Error, "revision-forked", {{"revision", number}, {"digest", revision->digest.value()}});
        break;
    case RevisionHolder::Verdict::Known:
        break;
    }
}

void ControlState::Private::publish()
{
    viewOutdated = false;
    const auto live = membership.live();
    options.state->setMembers(live);
    options.state->watchesStore = holdsRole("watch", options.watchers, membership.self(), live);
    options.state->keepsContacts = holdsRole("contacts", 1, membership.self(), live);
    open = gate.open(options.state->revisions.revision(), live.size() - 1);
    if (open) {
        options.publishView(RoutingView::build(options.state->revisions.current(), membership.records()));
    }
}

void ControlState::Private::tick()
{
    membership.tick(Clock::now());
    puller.tick(Clock::now());
    // A closed gate is looked at each time: what opens it comes by many ways.
    if (viewOutdated || !open) {
        publish();
    }
}

caf::behavior controlActor(caf::stateful_actor<ControlState> *self, ControlOptions options)
{
    self->state.d = std::make_unique<ControlState::Private>(std::move(options));
    auto *d = self->state.d.get();
    self->delayed_send(self, TickInterval, ControlTick{});
    return {
        [=](const ControlTick &tick) {
            d->tick();
            self->delayed_send(self, TickInterval, tick);
        },
        [=](const DatagramReceived &datagram) {
            if (const auto message = decodeGossip(datagram.bytes)) {
                d->membership.receive(datagram.from, *message, Clock::now());
            } else {
                d->options.log(LogLevel::Warning, "datagram-refused", {{"from", toString(datagram.from)}, {"reason", message.error().message}});
            }
        },
        [=](const TargetStateChanged &change) { d->membership.setState(change.state, Clock::now()); },
        [=](const MembersReceived &received) { d->membership.merge(received.members, Clock::now()); },
        [=](const RevisionReceived &received) { d->revisionReceived(received.revision); },
        [=](const PullEnded &ended) { d->puller.ended(ended.peer, Clock::now()); },
        [=](const StoreAnswered &answer) { d->gate.storeAnswered(answer.revision); },
        [=](const StoreFailed &) { d->gate.storeFailed(); },
        [=](const LeaveFleet &) { d->membership.setState(MemberState::Left, Clock::now()); },
    };
}

}
