#include "core/fleet/membership.h"

#include "core/fleet/membertable.h"
#include "core/fleet/peerselector.h"
#include "core/fleet/probes.h"
#include "core/fleet/updatequeue.h"

#include <algorithm>
#include <optional>
#include <random>

namespace Galenahill {

namespace {

// Highest local health score; see Private::localHealthScore.
constexpr std::int64_t MaxLocalHealthScore = 4;

// Probe intervals without a received datagram after which a member considers itself isolated.
constexpr int IsolationIntervals = 3;

}

class Membership::Private
{
public:
    using Member = MemberTable::Member;

    explicit Private(Options given)
        : options(std::move(given))
        , random(options.seed)
        , peerSelector(members, random, {.dataCentre = options.self.dataCentre, .bridgesPerDataCentre = options.bridgesPerDataCentre})
    {
    }

    Options options;
    std::mt19937_64 random;
    MemberTable members;
    PeerSelector peerSelector;
    UpdateQueue updateQueue;
    std::vector<NodeName> probeOrder;
    std::optional<Probe> probe;
    std::vector<RelayedProbe> relayed;
    std::uint32_t nextSequence = 1;
    // Remaining rounds of sending the revision; the last one includes the successors.
    std::uint32_t revisionRoundsLeft = 0;
    // Failed probes less successful ones, from zero to MaxLocalHealthScore: how likely it is that
    // this node's own link or CPU is the cause. Zero is healthy.
    std::int64_t localHealthScore = 0;
    TimePoint lastProbe;
    TimePoint lastGossip;
    TimePoint lastReconnect;
    TimePoint lastTick;
    TimePoint lastReceived;
    bool lastProbeUnanswered = false;

    bool applyRecord(const MemberRecord &record, TimePoint now);
    void enqueue(const MemberRecord &record);
    void enqueueSelf();
    void refute(const MemberRecord &claim);
    void checkSender(const Endpoint &from, const GossipMessage &message);
    void handleAck(std::uint32_t sequence);
    void sendTo(const Endpoint &endpoint, GossipMessage message);
    std::vector<MemberRecord> successorsWithout(Revision revision);
    bool isolated(TimePoint now) const;
    Milliseconds suspicionLimit() const;
    void detectPause(TimePoint now);
    void startProbe(TimePoint now);
    void checkProbe(TimePoint now);
    void probeGoneMember(TimePoint now);
    void expireSuspects(TimePoint now);
    void purge(TimePoint now);
    void gossip(TimePoint now);
    void sendRevision();
};

Membership::Membership(Options options)
    : d(std::make_unique<Private>(std::move(options)))
{
    d->updateQueue.add(d->options.self, d->members.size());
}

Membership::~Membership() = default;

const MemberRecord &Membership::self() const
{
    return d->options.self;
}

bool Membership::isolated(TimePoint now) const
{
    return d->isolated(now);
}

bool Membership::lastProbeUnanswered() const
{
    return d->lastProbeUnanswered;
}

void Membership::Private::refute(const MemberRecord &claim)
{
    // Another member claims a state that isn't true, such as Gone after a pause, or knows this node
    // from before a restart on a VM whose clock is behind. Unless this node raises its incarnation,
    // the claim wins everywhere and the target gets no calls.
    const bool alreadyAbove = options.self.incarnation > claim.incarnation;
    const bool same = options.self.incarnation == claim.incarnation && claim.state <= options.self.state;
    if (alreadyAbove || same) {
        return;
    }
    options.self.incarnation = claim.incarnation + 1;
    updateQueue.add(options.self, members.size());
}

// Returns whether the record changed what is known of another member.
bool Membership::Private::applyRecord(const MemberRecord &record, TimePoint now)
{
    // The datagram may be corrupt or forged: a member can't refute a record whose incarnation it
    // can't exceed, and would stay excluded for good.
    if (!isValidRecord(record)) {
        return false;
    }
    if (record.name == options.self.name) {
        refute(record);
        return false;
    }
    if (!members.merge(record, now)) {
        return false;
    }
    options.changed();
    return true;
}

void Membership::Private::enqueue(const MemberRecord &record)
{
    updateQueue.add(record, members.size());
}

void Membership::Private::sendTo(const Endpoint &endpoint, GossipMessage message)
{
    message.incarnation = options.self.incarnation;
    message.state = options.self.state;
    message.revision = options.revision();
    options.send(endpoint, message);
}

// Compares the state that the sender claims with the known one. Update and RecordRequest get no
// reply: two members that disagree for good, such as one that left and one that didn't know it,
// would answer each other without a pause and saturate the link between them. Their probes repeat
// the comparison each second.
void Membership::Private::checkSender(const Endpoint &from, const GossipMessage &message)
{
    if (message.kind == GossipKind::Update || message.kind == GossipKind::RecordRequest) {
        return;
    }
    const auto *known = members.findByEndpoint(from);
    if (known == nullptr) {
        if (from != options.self.control()) {
            sendTo(from, {.kind = GossipKind::RecordRequest});
        }
        return;
    }
    auto claimed = known->record;
    claimed.incarnation = message.incarnation;
    claimed.state = message.state;
    if (supersedes(known->record, claimed)) {
        // Declared gone while it was paused or cut off, or restarted with its clock behind; without
        // this record it would never learn what it has to refute.
        sendTo(from, {.kind = GossipKind::Update, .updates = {known->record}});
    } else if (supersedes(claimed, known->record)) {
        // The rest of its record may have changed with a restart.
        sendTo(from, {.kind = GossipKind::RecordRequest});
    }
}

void Membership::Private::handleAck(std::uint32_t sequence)
{
    if (probe && probe->sequence == sequence) {
        probe.reset();
        localHealthScore = std::max<std::int64_t>(0, localHealthScore - 1);
    }
    const auto request = std::find_if(relayed.begin(), relayed.end(), [&](const auto &entry) { return entry.relaySequence == sequence; });
    if (request != relayed.end()) {
        sendTo(request->requester, {.kind = GossipKind::Ack, .sequence = request->requestSequence});
        relayed.erase(request);
    }
}

void Membership::receive(const Endpoint &from, const GossipMessage &message, TimePoint now)
{
    d->lastReceived = now;
    d->lastProbeUnanswered = false;
    for (const auto &record : message.updates) {
        if (d->applyRecord(record, now)) {
            d->enqueue(record);
        }
    }
    d->checkSender(from, message);
    if (auto *sender = d->members.findByEndpoint(from)) {
        sender->revision = std::max(sender->revision, message.revision);
    }
    d->options.revisionAdvertised(from, message.revision);
    switch (message.kind) {
    case GossipKind::Ping:
        d->sendTo(from, {.kind = GossipKind::Ack, .sequence = message.sequence, .updates = d->updateQueue.nextBatch(d->options.maxUpdates)});
        break;
    case GossipKind::PingRequest: {
        const auto sequence = d->nextSequence++;
        d->relayed.push_back({sequence, message.sequence, from, now});
        d->sendTo(message.subject, {.kind = GossipKind::Ping, .sequence = sequence});
        break;
    }
    case GossipKind::Ack:
        d->handleAck(message.sequence);
        break;
    case GossipKind::RecordRequest:
        d->sendTo(from, {.kind = GossipKind::Update, .updates = {d->options.self}});
        break;
    case GossipKind::Update:
        break;
    }
}

void Membership::Private::startProbe(TimePoint now)
{
    while (!probeOrder.empty()) {
        const auto name = probeOrder.back();
        probeOrder.pop_back();
        const auto *found = members.find(name);
        if (found == nullptr || isGoneOrLeft(found->record)) {
            continue;
        }
        probe = Probe{nextSequence++, name, now, false};
        sendTo(found->record.control(), {.kind = GossipKind::Ping, .sequence = probe->sequence, .updates = updateQueue.nextBatch(options.maxUpdates)});
        return;
    }
    for (const auto &[name, member] : members.all()) {
        probeOrder.push_back(name);
    }
    std::shuffle(probeOrder.begin(), probeOrder.end(), random);
}

void Membership::Private::checkProbe(TimePoint now)
{
    if (!probe) {
        return;
    }
    const auto *found = members.find(probe->name);
    if (found == nullptr) {
        probe.reset();
        return;
    }
    const bool noAnswer = now - probe->sent >= options.probeTimeout && lastReceived < probe->sent;
    lastProbeUnanswered = lastProbeUnanswered || noAnswer;
    if (!probe->indirect && now - probe->sent >= options.probeTimeout) {
        probe->indirect = true;
        const auto canProbe = [&](const Member &member) { return member.record.name != probe->name && !isGoneOrLeft(member.record); };
        for (const auto &peer : peerSelector.selectAny(options.indirectProbes, canProbe)) {
            sendTo(peer.control(), {.kind = GossipKind::PingRequest, .sequence = probe->sequence, .subject = found->record.control()});
        }
    }
    if (now - probe->sent >= options.probeInterval) {
        auto record = found->record;
        if (record.state < MemberState::Suspect) {
            record.state = MemberState::Suspect;
            applyRecord(record, now);
            enqueue(record);
        }
        localHealthScore = std::min(MaxLocalHealthScore, localHealthScore + 1);
        probe.reset();
    }
}

// After a long partition each side has declared the other gone and no longer probes it; with the
// store unavailable they would stay apart for good. The answer to this probe shows each side what
// it has to refute. Members that left are probed as well: one that restarts while the store is
// unavailable knows no other member.
void Membership::Private::probeGoneMember(TimePoint now)
{
    if (now - lastReconnect < options.reconnectInterval) {
        return;
    }
    lastReconnect = now;
    for (const auto &peer : peerSelector.selectAny(1, [](const Member &member) { return isGoneOrLeft(member.record); })) {
        sendTo(peer.control(), {.kind = GossipKind::Ping});
    }
}

bool Membership::Private::isolated(TimePoint now) const
{
    return now - lastReceived > IsolationIntervals * options.probeInterval;
}

// A suspect's refutation takes longer to arrive in a larger fleet, and is missed more often by a
// node whose own link or CPU is impaired.
Milliseconds Membership::Private::suspicionLimit() const
{
    const auto size = std::max(1.0, std::log10(static_cast<double>(members.size() + 1)));
    return std::chrono::duration_cast<Milliseconds>(options.suspicionTimeout * (size * static_cast<double>(1 + localHealthScore)));
}

// After a pause (SIGSTOP, a stalled VM) all timers have expired at once. Unless they are restarted,
// this node would declare members gone whose answers wait in its socket.
void Membership::Private::detectPause(TimePoint now)
{
    const bool paused = lastTick != TimePoint() && now - lastTick > 2 * options.probeInterval;
    if (lastTick == TimePoint()) {
        lastReceived = now;
    }
    lastTick = now;
    if (!paused) {
        return;
    }
    localHealthScore = MaxLocalHealthScore;
    probe.reset();
    members.touch(now);
}

void Membership::Private::expireSuspects(TimePoint now)
{
    // A node that receives nothing is itself cut off. If it declared the others gone, it would
    // route to no target and its calls would fail although the targets run.
    if (isolated(now)) {
        members.touch(now);
        return;
    }
    std::vector<MemberRecord> expired;
    for (const auto &[name, member] : members.all()) {
        if (member.record.state == MemberState::Suspect && now - member.updatedAt >= suspicionLimit()) {
            expired.push_back(member.record);
        }
    }
    for (auto &record : expired) {
        record.state = MemberState::Gone;
        applyRecord(record, now);
        enqueue(record);
    }
    purge(now);
}

void Membership::Private::purge(TimePoint now)
{
    std::erase_if(members.all(), [&](const auto &entry) {
        const auto &[record, updatedAt, revision] = entry.second;
        return isGoneOrLeft(record) && now - updatedAt >= (record.state == MemberState::Left ? options.leftRetention : options.goneRetention);
    });
    std::erase_if(relayed, [&](const auto &entry) { return now - entry.sent >= options.probeInterval; });
}

// The next members in name order, wrapping around, that haven't advertised the revision.
std::vector<MemberRecord> Membership::Private::successorsWithout(Revision revision)
{
    auto found = members.successors(options.self.name, options.successors);
    std::erase_if(found, [&](const MemberRecord &record) { return members.find(record.name)->revision >= revision; });
    return found;
}

// Random rounds reach nearly all members. Those that they miss get the revision from their
// predecessors in name order; reaching them by more random rounds would need several times the
// datagrams. Sending to the successors in the last random round instead of after it reaches the
// last member of 200 a tenth of a second earlier.
void Membership::Private::sendRevision()
{
    const auto revision = options.revision();
    const auto lacks = [&](const Member &member) { return !isGoneOrLeft(member.record) && member.revision < revision; };
    --revisionRoundsLeft;
    auto recipients = peerSelector.selectMostlyLocal(options.fanOut, lacks);
    if (revisionRoundsLeft == 0) {
        const auto next = successorsWithout(revision);
        recipients.insert(recipients.end(), next.begin(), next.end());
    }
    for (const auto &peer : recipients) {
        sendTo(peer.control(), {.kind = GossipKind::Update});
    }
}

void Membership::Private::gossip(TimePoint now)
{
    if (now - lastGossip < options.gossipInterval || (updateQueue.empty() && revisionRoundsLeft == 0)) {
        return;
    }
    lastGossip = now;
    if (revisionRoundsLeft > 0) {
        sendRevision();
    }
    if (updateQueue.empty()) {
        return;
    }
    const auto updates = updateQueue.nextBatch(options.maxUpdates);
    for (const auto &peer : peerSelector.selectMostlyLocal(options.fanOut, [](const Member &member) { return !isGoneOrLeft(member.record); })) {
        sendTo(peer.control(), {.kind = GossipKind::Update, .updates = updates});
    }
}

void Membership::tick(TimePoint now)
{
    d->detectPause(now);
    d->checkProbe(now);
    if (!d->probe && now - d->lastProbe >= d->options.probeInterval) {
        d->lastProbe = now;
        d->startProbe(now);
    }
    d->probeGoneMember(now);
    d->expireSuspects(now);
    d->gossip(now);
}

// Records of members that this node knows aren't passed on: those members send them themselves. If
// each starting node passed its whole list on, the lists would be most of the traffic when a whole
// fleet restarts.
void Membership::merge(const std::vector<MemberRecord> &records, TimePoint now)
{
    for (const auto &record : records) {
        const bool unknown = d->members.find(record.name) == nullptr;
        if (d->applyRecord(record, now) && unknown) {
            d->enqueue(record);
        }
    }
    d->enqueueSelf();
}

void Membership::mergeFromStore(const std::vector<MemberRecord> &records, TimePoint now)
{
    for (const auto &record : records) {
        d->applyRecord(record, now);
    }
    d->enqueueSelf();
}

// The update about this member's start may have run out of rounds before any other member was
// known.
void Membership::Private::enqueueSelf()
{
    enqueue(options.self);
}

void Membership::setState(MemberState state, TimePoint now)
{
    setTarget(state, d->options.self.version, now);
}

void Membership::setTarget(MemberState state, const TargetVersion &version, TimePoint now)
{
    // The target's state keeps changing while the node stops; the others would consider the node
    // live again and send it calls that it rejects.
    auto &self = d->options.self;
    const bool same = self.state == state && self.version == version;
    if (same || self.state == MemberState::Left) {
        return;
    }
    self.state = state;
    self.version = version;
    // Within one incarnation the higher state wins whatever the order of arrival; each change needs
    // its own incarnation.
    ++d->options.self.incarnation;
    d->updateQueue.add(d->options.self, d->members.size());
    d->lastGossip = TimePoint();
    d->gossip(now);
    d->options.changed();
}

void Membership::announceRevision(TimePoint now)
{
    d->revisionRoundsLeft = d->options.revisionRounds;
    d->lastGossip = TimePoint();
    d->gossip(now);
}

std::vector<MemberRecord> Membership::records() const
{
    std::vector<MemberRecord> records{d->options.self};
    for (const auto &[name, member] : d->members.all()) {
        records.push_back(member.record);
    }
    return records;
}

std::vector<MemberRecord> Membership::live() const
{
    auto records = this->records();
    std::erase_if(records, [this](const MemberRecord &record) { return record.name != d->options.self.name && isGoneOrLeft(record); });
    return records;
}

}
