#include "core/quarantine/quarantine.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <random>
#include <string>
#include <unordered_set>

namespace Galenahill {

namespace {

// Suspects of one end that are reported, and the approximate size of a message, so that it fits into a datagram.
constexpr std::size_t MaxSuspects = 64;
constexpr std::size_t MaxMessageBytes = 4096;
constexpr std::size_t BytesPerSuspect = 9;
constexpr std::size_t BytesPerEnd = 64;

// Longest names that are accepted in a report.
constexpr std::size_t MaxNameBytes = 256;

std::size_t sizeOf(const TargetEnd &end)
{
    return BytesPerEnd + end.node.value().size() + end.service.value().size() + end.version.value().size() + BytesPerSuspect * end.suspects.size();
}

bool isValid(const TargetEnd &end)
{
    const bool shortNames = end.node.value().size() <= MaxNameBytes && end.service.value().size() <= MaxNameBytes && end.version.value().size() <= MaxNameBytes;
    return shortNames && end.suspects.size() <= MaxSuspects;
}

}

class Quarantine::Private
{
public:
    explicit Private(Options given)
        : options(std::move(given))
        , table(options.table)
        , random(options.seed)
    {
    }

    using Standings = std::map<RequestDigest, RequestStanding>;

    Options options;
    QuarantineTable table;
    std::mt19937_64 random;
    std::vector<Endpoint> peers;
    std::unordered_set<std::string> knownSenders;
    Counts counts;
    TimePoint nextCompare;
    // Whether this node still has to ask the others for the ends that it has missed.
    bool asksForAll = true;

    void spread(const std::vector<TargetEnd> &ends);
    void sendTo(const Endpoint &peer, const std::vector<TargetEnd> &ends) const;
    Standings standingsIn(const std::vector<TargetEnd> &ends, TimePoint now) const;
    void reportChanges(const Standings &before, bool seenHere, TimePoint now) const;
    std::vector<TargetEnd> clear(RequestDigest digest, bool seenHere, TimePoint now);
};

Quarantine::Quarantine(Options options)
    : d(std::make_unique<Private>(std::move(options)))
{
}

Quarantine::~Quarantine() = default;

const NodeName &Quarantine::node() const
{
    return d->options.self.name;
}

const QuarantineTable &Quarantine::table() const
{
    return d->table;
}

const Quarantine::Counts &Quarantine::counts() const
{
    return d->counts;
}

void Quarantine::setMembers(const std::vector<MemberRecord> &members)
{
    d->peers.clear();
    d->knownSenders.clear();
    for (const auto &member : members) {
        if (member.name != d->options.self.name) {
            d->peers.push_back(member.control());
            d->knownSenders.insert(toString(member.control()));
        }
    }
}

void Quarantine::Private::sendTo(const Endpoint &peer, const std::vector<TargetEnd> &ends) const
{
    QuarantineMessage message;
    std::size_t bytes = 0;
    for (const auto &end : ends) {
        if (!message.ends.empty() && bytes + sizeOf(end) > MaxMessageBytes) {
            options.send(peer, message);
            message.ends.clear();
            bytes = 0;
        }
        bytes += sizeOf(end);
        message.ends.push_back(end);
    }
    if (!message.ends.empty()) {
        options.send(peer, message);
    }
}

void Quarantine::Private::spread(const std::vector<TargetEnd> &ends)
{
    std::vector<Endpoint> receivers;
    std::sample(peers.begin(), peers.end(), std::back_inserter(receivers), options.fanOut, random);
    for (const auto &peer : receivers) {
        sendTo(peer, ends);
    }
}

Quarantine::Private::Standings Quarantine::Private::standingsIn(const std::vector<TargetEnd> &ends, TimePoint now) const
{
    Standings standings;
    for (const auto &end : ends) {
        for (const auto &request : end.suspects) {
            standings.emplace(request.digest, table.standing(request.digest, now));
        }
    }
    return standings;
}

void Quarantine::Private::reportChanges(const Standings &before, bool seenHere, TimePoint now) const
{
    for (const auto &[digest, previous] : before) {
        const auto standing = table.standing(digest, now);
        if (standing != previous && options.changed) {
            options.changed({.digest = digest, .standing = standing, .nodes = table.endedNodes(digest, now), .seenHere = seenHere});
        }
    }
}

void Quarantine::targetEnded(const TargetVersion &version, const std::vector<RequestDigest> &suspects, TimePoint now)
{
    TargetEnd end{.id = TargetEndId(d->random()), .node = d->options.self.name, .service = d->options.self.service, .version = version};
    for (std::size_t i = 0; i < std::min(suspects.size(), MaxSuspects); ++i) {
        end.suspects.push_back({.digest = suspects[i]});
    }
    const auto before = d->standingsIn({end}, now);
    d->table.add(end, now);
    ++d->counts.endsSeen;
    d->reportChanges(before, true, now);
    d->spread({end});
}

std::vector<TargetEnd> Quarantine::Private::clear(RequestDigest digest, bool seenHere, TimePoint now)
{
    const Standings before{{digest, table.standing(digest, now)}};
    auto changed = table.clear(digest, now);
    if (!changed.empty()) {
        ++counts.requestsCleared;
        reportChanges(before, seenHere, now);
        spread(changed);
    }
    return changed;
}

void Quarantine::answered(RequestDigest digest, TimePoint now)
{
    if (!d->table.empty()) {
        d->clear(digest, true, now);
    }
}

bool Quarantine::clear(RequestDigest digest, TimePoint now)
{
    return !d->clear(digest, true, now).empty();
}

void Quarantine::messageReceived(const Endpoint &from, const QuarantineMessage &message, TimePoint now)
{
    const bool valid = std::all_of(message.ends.begin(), message.ends.end(), isValid);
    if (!valid || !d->knownSenders.contains(toString(from))) {
        ++d->counts.messagesDropped;
        return;
    }
    const auto before = d->standingsIn(message.ends, now);
    std::vector<TargetEnd> news;
    for (const auto &end : message.ends) {
        if (Milliseconds(end.ageMs) < d->options.table.holdTime && d->table.add(end, now - Milliseconds(end.ageMs))) {
            news.push_back(end);
        }
    }
    if (!news.empty()) {
        d->counts.endsReported += news.size();
        d->reportChanges(before, false, now);
        d->spread(news);
    }
    if (message.wantsAll) {
        d->sendTo(from, d->table.ends(now));
    }
}

void Quarantine::tick(TimePoint now)
{
    if (d->peers.empty() || now < d->nextCompare) {
        return;
    }
    d->nextCompare = now + d->options.compareInterval;
    d->table.expire(now);
    if (d->asksForAll) {
        d->asksForAll = false;
        std::vector<Endpoint> receivers;
        std::sample(d->peers.begin(), d->peers.end(), std::back_inserter(receivers), d->options.fanOut, d->random);
        for (const auto &peer : receivers) {
            d->options.send(peer, {.wantsAll = true});
        }
        return;
    }
    if (!d->table.empty()) {
        std::uniform_int_distribution<std::size_t> index(0, d->peers.size() - 1);
        d->sendTo(d->peers[index(d->random)], d->table.ends(now));
    }
}

}
