#include "core/fleet/membership.h"

#include "core/fleet/gossippeers.h"
#include "core/fleet/membertable.h"
#include "core/fleet/probes.h"
#include "core/fleet/rumourqueue.h"

#include <algorithm>
#include <optional>
#include <random>

namespace Galenahill {

namespace {

// Highest value of a member's trouble score; see Private::trouble.
constexpr std::int64_t MaxTrouble = 4;

// Probe intervals without any datagram after which a member takes itself for
// cut off.
constexpr int IsolationIntervals = 3;

}

class Membership::Private
{
public:
    using Member = MemberTable::Member;

    explicit Private(Options given)
        : options(std::move(given))
        , random(options.seed)
        , peers(members, random, {.dataCentre = options.self.dataCentre, .bridgesPerDataCentre = options.bridgesPerDataCentre})
    {
    }

    Options options;
    std::mt19937_64 random;
    MemberTable members;
    GossipPeers peers;
    RumourQueue rumours;
    std::vector<NodeName> probeOrder;
    std::optional<Probe> probe;
    std::vector<RelayedProbe> relayed;
    std::uint32_t nextSequence = 1;
    // Rounds left of telling about the revision; the last goes to successors as
    // well.
    std::uint32_t roundsLeft = 0;
    // Failed probes less successful ones, from zero to MaxTrouble: how likely
    // it is that this node's own link or processor is the reason.
    std::int64_t trouble = 0;
    TimePoint lastProbe;
    TimePoint lastGossip;
    TimePoint lastRevive;
    TimePoint lastTick;
    TimePoint lastHeard;
    bool unanswered = false;

    bool take(const MemberRecord &record, TimePoint now);
    void spread(const MemberRecord &record);
    void spreadSelf();
    void refute(const MemberRecord &claim);
    void checkSender(const Endpoint &from, const GossipMessage &message);
    void acknowledged(std::uint32_t sequence);
    void sendTo(const Endpoint &endpoint, GossipMessage message);
    std::vector<MemberRecord> successorsWithout(Revision revision);
    bool isolated(TimePoint now) const;
    Milliseconds suspicionLimit() const;
    void noticePause(TimePoint now);
    void startProbe(TimePoint now);
    void checkProbe(TimePoint now);
    void probeGoneMember(TimePoint now);
    void expire(TimePoint now);
    void purge(TimePoint now);
    void gossip(TimePoint now);
    void tellRevision();
};

Membership::Membership(Options options)
    : d(std::make_unique<Private>(std::move(options)))
{
    d->rumours.add(d->options.self, d->members.size());
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

bool Membership::unanswered() const
{
    return d->unanswered;
}

void Membership::Private::refute(const MemberRecord &claim)
{
    // Somebody says of us what isn't so, such as Gone after a pause, or knows
    // us from before a restart on a VM whose clock is behind. Without a higher
    // incarnation the claim would win everywhere and our target would stay
    // out of use.
    const bool alreadyAbove = options.self.incarnation > claim.incarnation;
    const bool same = options.self.incarnation == claim.incarnation && claim.state <= options.self.state;
    if (alreadyAbove || same) {
        return;
    }
    options.self.incarnation = claim.incarnation + 1;
    rumours.add(options.self, members.size());
}

// Whether the record told something new of another member.
bool Membership::Private::take(const MemberRecord &record, TimePoint now)
{
    // A record from a damaged or hostile datagram: an incarnation that can't
    // be topped would keep a member out for ever.
    if (!isPlausible(record)) {
        return false;
    }
    if (record.name == options.self.name) {
        refute(record);
        return false;
    }
    if (!members.take(record, now)) {
        return false;
    }
    options.changed();
    return true;
}

void Membership::Private::spread(const MemberRecord &record)
{
    rumours.add(record, members.size());
}

void Membership::Private::sendTo(const Endpoint &endpoint, GossipMessage message)
{
    message.incarnation = options.self.incarnation;
    message.state = options.self.state;
    message.revision = options.revision();
    options.send(endpoint, message);
}

// Compares what the sender says of itself with what is known of it. Nothing is
// answered to news or to a question: two members that disagree for good, as one
// that left and one that didn't know it, would answer each other without a pause
// and fill the link between them. Their probes bring it up again each second.
void Membership::Private::checkSender(const Endpoint &from, const GossipMessage &message)
{
    if (message.kind == GossipKind::News || message.kind == GossipKind::Introduce) {
        return;
    }
    const auto *known = members.at(from);
    if (known == nullptr) {
        if (from != options.self.control()) {
            sendTo(from, {.kind = GossipKind::Introduce});
        }
        return;
    }
    auto claimed = known->record;
    claimed.incarnation = message.incarnation;
    claimed.state = message.state;
    if (supersedes(known->record, claimed)) {
        // Given up while it was paused or cut off, or restarted with a clock
        // behind; without this it would never learn what it has to refute.
        sendTo(from, {.kind = GossipKind::News, .updates = {known->record}});
    } else if (supersedes(claimed, known->record)) {
        // The rest of its record may have changed with a restart.
        sendTo(from, {.kind = GossipKind::Introduce});
    }
}

void Membership::Private::acknowledged(std::uint32_t sequence)
{
    if (probe && probe->sequence == sequence) {
        probe.reset();
        trouble = std::max<std::int64_t>(0, trouble - 1);
    }
    const auto request = std::find_if(relayed.begin(), relayed.end(), [&](const auto &entry) { return entry.ownSequence == sequence; });
    if (request != relayed.end()) {
        sendTo(request->requester, {.kind = GossipKind::Ack, .sequence = request->requestSequence});
        relayed.erase(request);
    }
}

void Membership::receive(const Endpoint &from, const GossipMessage &message, TimePoint now)
{
    d->lastHeard = now;
    d->unanswered = false;
    for (const auto &record : message.updates) {
        if (d->take(record, now)) {
            d->spread(record);
        }
    }
    d->checkSender(from, message);
    if (auto *sender = d->members.at(from)) {
        sender->revision = std::max(sender->revision, message.revision);
    }
    d->options.revisionHeard(from, message.revision);
    switch (message.kind) {
    case GossipKind::Ping:
        d->sendTo(from, {.kind = GossipKind::Ack, .sequence = message.sequence, .updates = d->rumours.take(d->options.maxUpdates)});
        break;
    case GossipKind::PingRequest: {
        const auto sequence = d->nextSequence++;
        d->relayed.push_back({sequence, message.sequence, from, now});
        d->sendTo(message.subject, {.kind = GossipKind::Ping, .sequence = sequence});
        break;
    }
    case GossipKind::Ack:
        d->acknowledged(message.sequence);
        break;
    case GossipKind::Introduce:
        d->sendTo(from, {.kind = GossipKind::News, .updates = {d->options.self}});
        break;
    case GossipKind::News:
        break;
    }
}

void Membership::Private::startProbe(TimePoint now)
{
    while (!probeOrder.empty()) {
        const auto name = probeOrder.back();
        probeOrder.pop_back();
        const auto *found = members.find(name);
        if (found == nullptr || isOut(found->record)) {
            continue;
        }
        probe = Probe{nextSequence++, name, now, false};
        sendTo(found->record.control(), {.kind = GossipKind::Ping, .sequence = probe->sequence, .updates = rumours.take(options.maxUpdates)});
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
    const bool silent = now - probe->sent >= options.probeTimeout && lastHeard < probe->sent;
    unanswered = unanswered || silent;
    if (!probe->indirect && now - probe->sent >= options.probeTimeout) {
        probe->indirect = true;
        const auto helps = [&](const Member &member) { return member.record.name != probe->name && !isOut(member.record); };
        for (const auto &peer : peers.anywhere(options.indirectProbes, helps)) {
            sendTo(peer.control(), {.kind = GossipKind::PingRequest, .sequence = probe->sequence, .subject = found->record.control()});
        }
    }
    if (now - probe->sent >= options.probeInterval) {
        auto record = found->record;
        if (record.state < MemberState::Suspect) {
            record.state = MemberState::Suspect;
            take(record, now);
            spread(record);
        }
        trouble = std::min(MaxTrouble, trouble + 1);
        probe.reset();
    }
}

// After a long partition both sides have given each other up, and nobody
// probes across any more; with the store down they would stay apart for ever.
// The answer to such a probe shows each side what it has to refute. A member
// that left may come back in the same way: restarted as planned while the
// store is out, it knows nobody.
void Membership::Private::probeGoneMember(TimePoint now)
{
    if (now - lastRevive < options.reviveInterval) {
        return;
    }
    lastRevive = now;
    for (const auto &peer : peers.anywhere(1, [](const Member &member) { return isOut(member.record); })) {
        sendTo(peer.control(), {.kind = GossipKind::Ping});
    }
}

bool Membership::Private::isolated(TimePoint now) const
{
    return now - lastHeard > IsolationIntervals * options.probeInterval;
}

// A suspect's refutation takes longer to arrive in a larger fleet, and is
// missed more often by a node whose own link or processor is in trouble.
Milliseconds Membership::Private::suspicionLimit() const
{
    const auto size = std::max(1.0, std::log10(static_cast<double>(members.size() + 1)));
    return std::chrono::duration_cast<Milliseconds>(options.suspicionTimeout * (size * static_cast<double>(1 + trouble)));
}

// A node that was paused (SIGSTOP, a stalled VM) wakes with all its timers
// run out. Without starting them anew it would give up, in one step, members
// whose answers wait in its socket.
void Membership::Private::noticePause(TimePoint now)
{
    const bool paused = lastTick != TimePoint() && now - lastTick > 2 * options.probeInterval;
    if (lastTick == TimePoint()) {
        lastHeard = now;
    }
    lastTick = now;
    if (!paused) {
        return;
    }
    trouble = MaxTrouble;
    probe.reset();
    members.touch(now);
}

void Membership::Private::expire(TimePoint now)
{
    // A node that hears from nobody is itself cut off. If it gave the others
    // up, its routing would empty and its calls fail though the targets run.
    if (isolated(now)) {
        members.touch(now);
        return;
    }
    std::vector<MemberRecord> dead;
    for (const auto &[name, member] : members.all()) {
        if (member.record.state == MemberState::Suspect && now - member.since >= suspicionLimit()) {
            dead.push_back(member.record);
        }
    }
    for (auto &record : dead) {
        record.state = MemberState::Gone;
        take(record, now);
        spread(record);
    }
    purge(now);
}

void Membership::Private::purge(TimePoint now)
{
    std::erase_if(members.all(), [&](const auto &entry) {
        const auto &[record, since, revision] = entry.second;
        return isOut(record) && now - since >= (record.state == MemberState::Left ? options.leftRetention : options.goneRetention);
    });
    std::erase_if(relayed, [&](const auto &entry) { return now - entry.sent >= options.probeInterval; });
}

// The members next in the order of names, around its end, that weren't heard
// to have the revision.
std::vector<MemberRecord> Membership::Private::successorsWithout(Revision revision)
{
    auto found = members.successors(options.self.name, options.successors);
    std::erase_if(found, [&](const MemberRecord &record) { return members.find(record.name)->revision >= revision; });
    return found;
}

// Random rounds reach nearly all members. Those that they miss are reached
// through the members before them in the order of names, for which more
// random rounds would need several times the datagrams. Told with the last random
// round, not after it, the last member of 200 hears a tenth of a second earlier.
void Membership::Private::tellRevision()
{
    const auto revision = options.revision();
    const auto lacks = [&](const Member &member) { return !isOut(member.record) && member.revision < revision; };
    --roundsLeft;
    auto told = peers.mostlyNear(options.fanOut, lacks);
    if (roundsLeft == 0) {
        const auto next = successorsWithout(revision);
        told.insert(told.end(), next.begin(), next.end());
    }
    for (const auto &peer : told) {
        sendTo(peer.control(), {.kind = GossipKind::News});
    }
}

void Membership::Private::gossip(TimePoint now)
{
    if (now - lastGossip < options.gossipInterval || (rumours.empty() && roundsLeft == 0)) {
        return;
    }
    lastGossip = now;
    if (roundsLeft > 0) {
        tellRevision();
    }
    if (rumours.empty()) {
        return;
    }
    const auto updates = rumours.take(options.maxUpdates);
    for (const auto &peer : peers.mostlyNear(options.fanOut, [](const Member &member) { return !isOut(member.record); })) {
        sendTo(peer.control(), {.kind = GossipKind::News, .updates = updates});
    }
}

void Membership::tick(TimePoint now)
{
    d->noticePause(now);
    d->checkProbe(now);
    if (!d->probe && now - d->lastProbe >= d->options.probeInterval) {
        d->lastProbe = now;
        d->startProbe(now);
    }
    d->probeGoneMember(now);
    d->expire(now);
    d->gossip(now);
}

// What a list says of known members, the others are told by those themselves.
// Passed on by each node that starts, the lists of a fleet that returns as a whole
// would be most of its traffic.
void Membership::merge(const std::vector<MemberRecord> &records, TimePoint now)
{
    for (const auto &record : records) {
        const bool unknown = d->members.find(record.name) == nullptr;
        if (d->take(record, now) && unknown) {
            d->spread(record);
        }
    }
    d->spreadSelf();
}

void Membership::mergeFromStore(const std::vector<MemberRecord> &records, TimePoint now)
{
    for (const auto &record : records) {
        d->take(record, now);
    }
    d->spreadSelf();
}

// The rumour of this member's start may have run out before it had anybody to
// tell.
void Membership::Private::spreadSelf()
{
    spread(options.self);
}

void Membership::setState(MemberState state, TimePoint now)
{
    setTarget(state, d->options.self.version, now);
}

void Membership::setTarget(MemberState state, const TargetVersion &version, TimePoint now)
{
    // The target's state goes on changing while the node stops; the others
    // would take the node back and send it calls that it refuses.
    auto &self = d->options.self;
    const bool same = self.state == state && self.version == version;
    if (same || self.state == MemberState::Left) {
        return;
    }
    self.state = state;
    self.version = version;
    // A later state of the same incarnation would win over an earlier one
    // whatever the order of arrival; each change needs its own incarnation.
    ++d->options.self.incarnation;
    d->rumours.add(d->options.self, d->members.size());
    d->lastGossip = TimePoint();
    d->gossip(now);
    d->options.changed();
}

void Membership::announceRevision(TimePoint now)
{
    d->roundsLeft = d->options.revisionRounds;
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
    std::erase_if(records, [this](const MemberRecord &record) { return record.name != d->options.self.name && isOut(record); });
    return records;
}

}
