#include "core/membership.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <random>

namespace Galenahill {

namespace {

// Rounds in which one update is passed on, for a fleet of that size. The
// factor leaves room for lost datagrams.
std::uint32_t retransmissions(std::size_t members)
{
    return 2 + static_cast<std::uint32_t>(std::ceil(3 * std::log10(static_cast<double>(members + 1))));
}

}

class Membership::Private
{
public:
    struct Member
    {
        MemberRecord record;
        TimePoint since;
    };

    struct Probe
    {
        std::uint64_t sequence = 0;
        NodeName name;
        TimePoint sent;
        bool indirect = false;
    };

    // A ping sent on behalf of another member.
    struct RelayedProbe
    {
        std::uint64_t ownSequence = 0;
        std::uint64_t requestSequence = 0;
        Endpoint requester;
        TimePoint sent;
    };

    struct Rumour
    {
        MemberRecord record;
        std::uint32_t left = 0;
    };

    explicit Private(Options given)
        : options(std::move(given))
        , random(options.seed)
    {
    }

    Options options;
    std::mt19937_64 random;
    std::map<NodeName, Member> members;
    std::vector<Rumour> rumours;
    std::vector<NodeName> probeOrder;
    std::optional<Probe> probe;
    std::vector<RelayedProbe> relayed;
    std::uint64_t nextSequence = 1;
    std::uint32_t revisionRounds = 0;
    TimePoint lastProbe;
    TimePoint lastGossip;

    void take(const MemberRecord &record, TimePoint now);
    void refute(const MemberRecord &claim);
    void tellIfBuried(const Endpoint &from, const MemberRecord &sender);
    void spread(const MemberRecord &record);
    void sendTo(const Endpoint &endpoint, GossipMessage message);
    std::vector<MemberRecord> nextUpdates();
    std::vector<MemberRecord> randomPeers(std::size_t count, const NodeName &except);
    void startProbe(TimePoint now);
    void checkProbe(TimePoint now);
    void expire(TimePoint now);
    void gossip(TimePoint now);
};

Membership::Membership(Options options)
    : d(std::make_unique<Private>(std::move(options)))
{
}

Membership::~Membership() = default;

const MemberRecord &Membership::self() const
{
    return d->options.self;
}

void Membership::Private::spread(const MemberRecord &record)
{
    std::erase_if(rumours, [&](const Rumour &rumour) { return rumour.record.name == record.name; });
    rumours.push_back({record, retransmissions(members.size())});
}

void Membership::Private::refute(const MemberRecord &claim)
{
    // Somebody says of us what isn't so, such as Gone after a pause. Without
    // a higher incarnation the claim would win everywhere and our target
    // would stay out of use.
    const bool alreadyAbove = options.self.incarnation > claim.incarnation;
    const bool same = options.self.incarnation == claim.incarnation && claim.state <= options.self.state;
    if (alreadyAbove || same) {
        return;
    }
    options.self.incarnation = claim.incarnation + 1;
    spread(options.self);
}

void Membership::Private::take(const MemberRecord &record, TimePoint now)
{
    if (record.name == options.self.name) {
        refute(record);
        return;
    }
    const auto known = members.find(record.name);
    if (known != members.end() && !supersedes(record, known->second.record)) {
        return;
    }
    const bool unknownAndGone = known == members.end() && record.state == MemberState::Gone;
    if (unknownAndGone) {
        return;
    }
    members[record.name] = {record, now};
    spread(record);
    options.changed();
}

std::vector<MemberRecord> Membership::Private::nextUpdates()
{
    std::vector<MemberRecord> updates;
    // The least often sent first, so that fresh news isn't held up by old.
    std::stable_sort(rumours.begin(), rumours.end(), [](const Rumour &left, const Rumour &right) { return left.left > right.left; });
    for (auto &rumour : rumours) {
        if (updates.size() == options.maxUpdates) {
            break;
        }
        updates.push_back(rumour.record);
        --rumour.left;
    }
    std::erase_if(rumours, [](const Rumour &rumour) { return rumour.left == 0; });
    return updates;
}

void Membership::Private::sendTo(const Endpoint &endpoint, GossipMessage message)
{
    message.sender = options.self;
    message.revision = options.revision();
    options.send(endpoint, message);
}

std::vector<MemberRecord> Membership::Private::randomPeers(std::size_t count, const NodeName &except)
{
    std::vector<MemberRecord> candidates;
    for (const auto &[name, member] : members) {
        if (name != except && member.record.state != MemberState::Gone) {
            candidates.push_back(member.record);
        }
    }
    std::vector<MemberRecord> chosen;
    std::sample(candidates.begin(), candidates.end(), std::back_inserter(chosen), count, random);
    return chosen;
}

// A member that was paused too long counts as gone everywhere; nobody pings it
// any more, so without this it would never learn what it has to refute.
void Membership::Private::tellIfBuried(const Endpoint &from, const MemberRecord &sender)
{
    const auto known = members.find(sender.name);
    if (known != members.end() && known->second.record.state >= MemberState::Suspect && supersedes(known->second.record, sender)) {
        sendTo(from, {.kind = GossipKind::News, .sequence = 0, .sender = {}, .subject = {}, .revision = {}, .updates = {known->second.record}});
    }
}

void Membership::receive(const Endpoint &from, const GossipMessage &message, TimePoint now)
{
    d->take(message.sender, now);
    d->tellIfBuried(from, message.sender);
    for (const auto &record : message.updates) {
        d->take(record, now);
    }
    if (message.sender.name != d->options.self.name) {
        d->options.revisionHeard(message.sender, message.revision);
    }
    switch (message.kind) {
    case GossipKind::Ping:
        d->sendTo(from, {.kind = GossipKind::Ack, .sequence = message.sequence, .sender = {}, .subject = {}, .revision = {}, .updates = d->nextUpdates()});
        break;
    case GossipKind::PingRequest: {
        const auto sequence = d->nextSequence++;
        d->relayed.push_back({sequence, message.sequence, from, now});
        d->sendTo(message.subject, {.kind = GossipKind::Ping, .sequence = sequence, .sender = {}, .subject = {}, .revision = {}, .updates = {}});
        break;
    }
    case GossipKind::Ack: {
        if (d->probe && d->probe->sequence == message.sequence) {
            d->probe.reset();
        }
        const auto request = std::find_if(d->relayed.begin(), d->relayed.end(), [&](const auto &entry) { return entry.ownSequence == message.sequence; });
        if (request != d->relayed.end()) {
            d->sendTo(request->requester,
                {.kind = GossipKind::Ack, .sequence = request->requestSequence, .sender = {}, .subject = {}, .revision = {}, .updates = {}});
            d->relayed.erase(request);
        }
        break;
    }
    case GossipKind::News:
        break;
    }
}

void Membership::Private::startProbe(TimePoint now)
{
    while (!probeOrder.empty()) {
        const auto name = probeOrder.back();
        probeOrder.pop_back();
        const auto found = members.find(name);
        if (found == members.end() || found->second.record.state == MemberState::Gone) {
            continue;
        }
        probe = Probe{nextSequence++, name, now, false};
        sendTo(found->second.record.control(),
            {.kind = GossipKind::Ping, .sequence = probe->sequence, .sender = {}, .subject = {}, .revision = {}, .updates = nextUpdates()});
        return;
    }
    for (const auto &[name, member] : members) {
        probeOrder.push_back(name);
    }
    std::shuffle(probeOrder.begin(), probeOrder.end(), random);
}

void Membership::Private::checkProbe(TimePoint now)
{
    if (!probe) {
        return;
    }
    const auto found = members.find(probe->name);
    if (found == members.end()) {
        probe.reset();
        return;
    }
    if (!probe->indirect && now - probe->sent >= options.probeTimeout) {
        probe->indirect = true;
        for (const auto &peer : randomPeers(options.indirectProbes, probe->name)) {
            sendTo(peer.control(),
                {.kind = GossipKind::PingRequest,
                    .sequence = probe->sequence,
                    .sender = {},
                    .subject = found->second.record.control(),
                    .revision = {},
                    .updates = {}});
        }
    }
    if (now - probe->sent >= options.probeInterval) {
        auto record = found->second.record;
        if (record.state < MemberState::Suspect) {
            record.state = MemberState::Suspect;
            take(record, now);
        }
        probe.reset();
    }
}

void Membership::Private::expire(TimePoint now)
{
    std::vector<MemberRecord> dead;
    for (const auto &[name, member] : members) {
        if (member.record.state == MemberState::Suspect && now - member.since >= options.suspicionTimeout) {
            dead.push_back(member.record);
        }
    }
    for (auto &record : dead) {
        record.state = MemberState::Gone;
        take(record, now);
    }
    std::erase_if(
        members, [&](const auto &entry) { return entry.second.record.state == MemberState::Gone && now - entry.second.since >= options.goneRetention; });
    std::erase_if(relayed, [&](const auto &entry) { return now - entry.sent >= options.probeInterval; });
}

void Membership::Private::gossip(TimePoint now)
{
    if (now - lastGossip < options.gossipInterval || (rumours.empty() && revisionRounds == 0)) {
        return;
    }
    lastGossip = now;
    if (revisionRounds > 0) {
        --revisionRounds;
    }
    const auto updates = nextUpdates();
    for (const auto &peer : randomPeers(options.fanOut, options.self.name)) {
        sendTo(peer.control(), {.kind = GossipKind::News, .sequence = 0, .sender = {}, .subject = {}, .revision = {}, .updates = updates});
    }
}

void Membership::tick(TimePoint now)
{
    d->checkProbe(now);
    if (!d->probe && now - d->lastProbe >= d->options.probeInterval) {
        d->lastProbe = now;
        d->startProbe(now);
    }
    d->expire(now);
    d->gossip(now);
}

void Membership::merge(const std::vector<MemberRecord> &records, TimePoint now)
{
    for (const auto &record : records) {
        d->take(record, now);
    }
}

void Membership::setState(MemberState state, TimePoint now)
{
    if (d->options.self.state == state) {
        return;
    }
    d->options.self.state = state;
    // A later state of the same incarnation would win over an earlier one
    // whatever the order of arrival; each change needs its own incarnation.
    ++d->options.self.incarnation;
    d->spread(d->options.self);
    d->lastGossip = TimePoint();
    d->gossip(now);
    d->options.changed();
}

void Membership::announceRevision(TimePoint now)
{
    d->revisionRounds = retransmissions(d->members.size());
    d->lastGossip = TimePoint();
    d->gossip(now);
}

std::vector<MemberRecord> Membership::records() const
{
    std::vector<MemberRecord> records{d->options.self};
    for (const auto &[name, member] : d->members) {
        records.push_back(member.record);
    }
    return records;
}

std::vector<MemberRecord> Membership::live() const
{
    auto records = this->records();
    std::erase_if(records, [](const MemberRecord &record) { return record.state == MemberState::Gone; });
    return records;
}

}
