#include "daemon/fleetcontrol.h"

#include "adapters/codec/binarycodec.h"
#include "core/fleet/membership.h"
#include "core/fleet/readinessgate.h"
#include "core/fleet/rendezvous.h"
#include "core/fleet/revisionpuller.h"
#include "core/fleet/watcherselection.h"

#include <algorithm>

namespace Galenahill {

class FleetControl::Private
{
public:
    explicit Private(FleetControlOptions given)
        : options(std::move(given))
        , membership(membershipOptions())
        , puller({.watchGracePeriod = [this] { return readsStore() ? options.watchGracePeriod : Milliseconds(0); },
              .pull = [this](const Endpoint &peer) { options.pull(peer); },
              .revision = [this] { return options.state->revisions.revision(); }})
    {
    }

    FleetControlOptions options;
    Membership membership;
    RevisionPuller puller;
    ReadinessGate gate;
    bool ready = false;
    bool viewOutdated = true;
    bool watchesAsFallback = false;
    bool storeFailed = false;
    // The highest revision that this node has heard of, and when it first did.
    Revision learntRevision;
    TimePoint learntAt;
    VersionRules versionRules;

    Membership::Options membershipOptions();
    void revisionAdvertised(const Endpoint &member, Revision revision);
    void revisionReceived(const std::shared_ptr<const ConfigRevision> &revision, RevisionSource source);
    void recordLearnt(Revision revision, const std::string &from);
    void tick();
    void updateFallbackWatch();
    void updateWatcherRole(const std::vector<MemberRecord> &live);
    bool readsStore() const;
    void publish();
};

FleetControl::FleetControl(FleetControlOptions options)
    : d(std::make_unique<Private>(std::move(options)))
{
}

FleetControl::~FleetControl() = default;

Membership::Options FleetControl::Private::membershipOptions()
{
    Membership::Options membershipOptions;
    membershipOptions.self = options.self;
    membershipOptions.seed = options.seed;
    membershipOptions.reconnectInterval = options.reconnectInterval;
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
    membershipOptions.revisionAdvertised = [this](const Endpoint &member, Revision revision) { revisionAdvertised(member, revision); };
    return membershipOptions;
}

void FleetControl::Private::revisionAdvertised(const Endpoint &member, Revision revision)
{
    auto &highest = options.state->highestKnownRevision;
    highest = std::max(highest.load(), revision.value());
    recordLearnt(revision, toString(member));
    gate.revisionAdvertised(member, revision);
    puller.revisionAdvertised(member, revision, Clock::now());
}

void FleetControl::Private::recordLearnt(Revision revision, const std::string &from)
{
    const auto inForce = options.state->revisions.revision();
    if (revision <= std::max(learntRevision, inForce)) {
        return;
    }
    learntRevision = revision;
    learntAt = Clock::now();
    options.log(LogLevel::Info, "revision-learnt", {{"revision", revision.value()}, {"from", from}, {"in_force", inForce.value()}});
}

void FleetControl::Private::revisionReceived(const std::shared_ptr<const ConfigRevision> &revision, RevisionSource source)
{
    const auto number = revision->revision().value();
    recordLearnt(revision->revision(), toString(source));
    switch (options.state->revisions.offer(revision)) {
    case RevisionHolder::OfferResult::Adopted:
        options.state->highestKnownRevision = std::max(options.state->highestKnownRevision.load(), number);
        options.log(LogLevel::Info,
            "revision-in-force",
            {{"revision", number},
                {"digest", revision->digest.value()},
                {"source", toString(source)},
                {"known_for_ms", std::chrono::duration_cast<Milliseconds>(Clock::now() - learntAt).count()}});
        if (options.revisionAdopted) {
            options.revisionAdopted(revision);
        }
        // The view is published first, so that this node already serves the revision
        // when a peer learns of it.
        publish();
        membership.announceRevision(Clock::now());
        break;
    case RevisionHolder::OfferResult::Older:
        options.log(LogLevel::Warning,
            "older-revision-refused",
            {{"offered", number}, {"in_force", options.state->revisions.revision().value()}, {"source", toString(source)}});
        break;
    case RevisionHolder::OfferResult::Forked:
        options.log(LogLevel::Error, "revision-forked", {{"revision", number}, {"digest", revision->digest.value()}});
        break;
    case RevisionHolder::OfferResult::Known:
        break;
    }
}

// Whether this node is about to read a newer revision from the store: as a watcher, or
// because it has just started. Otherwise every node of a fleet that starts at once
// would also pull the configuration from a member, often in another data centre.
bool FleetControl::Private::readsStore() const
{
    const bool firstRead = options.state->revisions.revision() == Revision();
    return (options.state->watchesStore || firstRead) && !storeFailed;
}

void FleetControl::Private::publish()
{
    viewOutdated = false;
    const auto live = membership.live();
    options.state->setMembers(live);
    if (options.membersChanged) {
        options.membersChanged(membership.records());
    }
    updateWatcherRole(live);
    options.state->maintainsContacts = holdsRole("contacts", 1, membership.self(), live);
    ready = gate.checkReady(options.state->revisions.revision(), live.size() - 1);
    if (ready) {
        options.publishView(RoutingView::build(options.state->revisions.current(), membership.records(), versionRules));
    }
}

void FleetControl::Private::updateWatcherRole(const std::vector<MemberRecord> &live)
{
    const bool isSelected = WatcherSelection{.maxPerDataCentre = options.watchers}.selects(membership.self(), live);
    const bool watches = isSelected || watchesAsFallback;
    if (options.state->watchesStore.exchange(watches) != watches) {
        options.log(LogLevel::Info, "watcher-role", {{"watches", watches}, {"selected", isSelected}, {"members", live.size()}});
    }
}

// All watchers may fail at once, as when a rack loses power, and the remaining members
// would learn of no change until they had declared the watchers gone. A node whose
// probes stay unanswered therefore watches the store itself until it receives a message
// from a member.
void FleetControl::Private::updateFallbackWatch()
{
    if (membership.lastProbeUnanswered() != watchesAsFallback) {
        watchesAsFallback = membership.lastProbeUnanswered();
        viewOutdated = true;
    }
}

void FleetControl::Private::tick()
{
    membership.tick(Clock::now());
    puller.tick(Clock::now());
    updateFallbackWatch();
    // A node that is not ready checks again at each tick: what makes it ready may change
    // without the view becoming outdated.
    if (viewOutdated || !ready) {
        publish();
    }
}

void FleetControl::tick()
{
    d->tick();
}

void FleetControl::datagramReceived(const Endpoint &from, const std::string &bytes)
{
    if (const auto message = decodeGossip(bytes)) {
        d->membership.receive(from, *message, Clock::now());
    } else {
        d->options.log(LogLevel::Warning, "datagram-refused", {{"from", toString(from)}, {"reason", message.error().message}});
    }
}

void FleetControl::membersReceived(const std::vector<MemberRecord> &members)
{
    d->membership.merge(members, Clock::now());
}

void FleetControl::storedMembersReceived(const std::vector<MemberRecord> &members)
{
    d->membership.mergeFromStore(members, Clock::now());
}

void FleetControl::targetStateChanged(MemberState state, const TargetVersion &version)
{
    d->membership.setTarget(state, version, Clock::now());
}

void FleetControl::setVersionRules(VersionRules rules)
{
    if (rules != d->versionRules) {
        d->versionRules = std::move(rules);
        d->publish();
    }
}

void FleetControl::revisionReceived(const std::shared_ptr<const ConfigRevision> &revision, RevisionSource source)
{
    d->revisionReceived(revision, source);
}

void FleetControl::revisionAdvertised(const Endpoint &member, Revision revision)
{
    d->revisionAdvertised(member, revision);
}

void FleetControl::pullEnded(const Endpoint &peer)
{
    d->puller.pullEnded(peer, Clock::now());
}

void FleetControl::storeAnswered(Revision revision)
{
    d->storeFailed = false;
    d->gate.storeAnswered(revision);
}

void FleetControl::storeFailed()
{
    d->storeFailed = true;
    d->gate.storeFailed();
}

void FleetControl::leave()
{
    d->membership.setState(MemberState::Left, Clock::now());
}

bool FleetControl::isReady() const
{
    return d->ready;
}

std::vector<Endpoint> FleetControl::peerAddresses() const
{
    std::vector<Endpoint> addresses;
    for (const auto &member : d->membership.live()) {
        if (member.name != d->membership.self().name) {
            addresses.push_back(member.control());
        }
    }
    return addresses;
}

bool FleetControl::knows(const NodeName &member) const
{
    const auto records = d->membership.records();
    return std::any_of(records.begin(), records.end(), [&](const MemberRecord &record) { return record.name == member; });
}

std::size_t FleetControl::peerCount() const
{
    return d->membership.live().size() - 1;
}

}
