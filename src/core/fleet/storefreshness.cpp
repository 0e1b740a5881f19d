#include "core/fleet/storefreshness.h"

#include "core/fleet/rendezvous.h"
#include "core/fleet/watcherselection.h"

#include <algorithm>
#include <random>
#include <set>

namespace Galenahill {

namespace {

constexpr const char *StandInRole = "stand-in";

}

class StoreFreshness::Private
{
public:
    explicit Private(Options given)
        : options(std::move(given))
        , random(options.seed)
    {
        drawSpread();
    }

    struct Reading
    {
        StoreReading value;
        TimePoint asOf;
    };

    Options options;
    std::mt19937_64 random;
    std::optional<Reading> last;
    // When a watcher, other than this node, last read the store.
    TimePoint watcherRead;
    std::set<Endpoint> members;
    std::set<NodeName> watchers;
    std::vector<Endpoint> otherWatchers;
    // The members of the data centre that this node passes readings on to, as a watcher.
    std::vector<Endpoint> followers;
    bool isWatcher = false;
    // Place in the order of the data centre's other members.
    std::size_t place = 0;
    // Random part of the age from which the store is checked, from zero to one.
    double spread = 0;
    bool checking = false;
    std::uint32_t failures = 0;
    TimePoint nextCheck;
    TimePoint standInUntil;
    // When a check by this node last succeeded.
    std::optional<TimePoint> lastCheck;
    TimePoint lastForward;

    void drawSpread();
    void chooseFollowers(const std::vector<MemberRecord> &selected, std::vector<MemberRecord> others);
    Milliseconds checkAge(TimePoint now);
    bool standsIn(TimePoint now);
};

StoreFreshness::StoreFreshness(Options options)
    : d(std::make_unique<Private>(std::move(options)))
{
}

StoreFreshness::~StoreFreshness() = default;

void StoreFreshness::Private::drawSpread()
{
    spread = std::uniform_real_distribution<>()(random);
}

void StoreFreshness::setMembers(const std::vector<MemberRecord> &live)
{
    const auto &self = d->options.self;
    const auto selected = WatcherSelection{.maxPerDataCentre = d->options.watchers}.watchers(live);
    d->members.clear();
    d->watchers.clear();
    d->otherWatchers.clear();
    d->followers.clear();
    for (const auto &watcher : selected) {
        d->watchers.insert(watcher.name);
        if (watcher.name != self.name) {
            d->otherWatchers.push_back(watcher.control());
        }
    }
    d->isWatcher = d->watchers.contains(self.name);
    std::vector<MemberRecord> others;
    for (const auto &member : live) {
        d->members.insert(member.control());
        if (member.dataCentre == self.dataCentre && !d->watchers.contains(member.name)) {
            others.push_back(member);
        }
    }
    d->place = rendezvousRank(StandInRole, self, others);
    if (d->isWatcher) {
        d->chooseFollowers(selected, std::move(others));
    }
}

// The watchers of a data centre take its other members in turn, in the order of their names.
void StoreFreshness::Private::chooseFollowers(const std::vector<MemberRecord> &selected, std::vector<MemberRecord> others)
{
    std::vector<NodeName> localWatchers;
    for (const auto &watcher : selected) {
        if (watcher.dataCentre == options.self.dataCentre) {
            localWatchers.push_back(watcher.name);
        }
    }
    std::sort(localWatchers.begin(), localWatchers.end());
    std::sort(others.begin(), others.end(), [](const auto &left, const auto &right) { return left.name < right.name; });
    const auto own = std::find(localWatchers.begin(), localWatchers.end(), options.self.name) - localWatchers.begin();
    for (auto i = static_cast<std::size_t>(own); i < others.size(); i += localWatchers.size()) {
        followers.push_back(others[i].control());
    }
}

bool StoreFreshness::update(const StoreReading &reading, TimePoint now)
{
    const auto asOf = now - Milliseconds(reading.ageMs);
    if (reading.reader != d->options.self.name && d->watchers.contains(reading.reader)) {
        d->watcherRead = std::max<TimePoint>(d->watcherRead, asOf);
    }
    if (d->last && asOf <= d->last->asOf) {
        return false;
    }
    if (reading.reader == d->options.self.name) {
        d->failures = 0;
        d->nextCheck = TimePoint();
    }
    d->last = Private::Reading{reading, asOf};
    d->drawSpread();
    return true;
}

bool StoreFreshness::isMember(const Endpoint &from) const
{
    return d->members.contains(from);
}

std::optional<StoreReading> StoreFreshness::last(TimePoint now) const
{
    if (!d->last) {
        return std::nullopt;
    }
    auto reading = d->last->value;
    reading.ageMs = static_cast<std::uint32_t>(std::chrono::duration_cast<Milliseconds>(now - d->last->asOf).count());
    return reading;
}

Milliseconds StoreFreshness::age(TimePoint now) const
{
    return std::chrono::duration_cast<Milliseconds>(now - (d->last ? d->last->asOf : d->options.started));
}

Milliseconds StoreFreshness::Private::checkAge(TimePoint now)
{
    const auto part = [this](Milliseconds range) { return std::chrono::duration_cast<Milliseconds>(range * spread); };
    if (isWatcher || standsIn(now)) {
        return options.watcherAge + part(options.watcherSpread * std::max<std::size_t>(watchers.size(), 1));
    }
    return options.memberAge + part(options.memberSpread) + options.memberStep * place;
}

bool StoreFreshness::startCheck(TimePoint now)
{
    if (d->checking || now < d->nextCheck || now - d->options.started < d->options.startDelay || age(now) < d->checkAge(now)) {
        return false;
    }
    d->checking = true;
    return true;
}

void StoreFreshness::checkSucceeded(TimePoint now)
{
    d->checking = false;
    d->failures = 0;
    if (!d->isWatcher && d->lastCheck && now - *d->lastCheck <= d->options.repeatedCheckTime) {
        d->standInUntil = now + d->options.standInTime;
    }
    d->lastCheck = now;
}

void StoreFreshness::checkFailed(TimePoint now)
{
    d->checking = false;
    d->standInUntil = TimePoint();
    const auto doubled = d->options.minBackOff * (1U << std::min<std::uint32_t>(d->failures++, 8));
    const auto limit = std::min(d->options.maxBackOff, std::chrono::duration_cast<Milliseconds>(doubled));
    d->drawSpread();
    d->nextCheck = now + limit / 2 + std::chrono::duration_cast<Milliseconds>(limit * d->spread / 2);
}

bool StoreFreshness::Private::standsIn(TimePoint now)
{
    if (isWatcher || standInUntil == TimePoint()) {
        return false;
    }
    if (now >= standInUntil) {
        const bool watcherReads = now - watcherRead <= options.watcherReadingAge;
        standInUntil = watcherReads ? TimePoint() : now + options.standInTime;
    }
    return standInUntil != TimePoint();
}

bool StoreFreshness::standsIn(TimePoint now)
{
    return d->standsIn(now);
}

std::vector<Endpoint> StoreFreshness::recipients(bool toWatchers, TimePoint now)
{
    std::vector<Endpoint> recipients;
    if (toWatchers) {
        recipients = d->otherWatchers;
    }
    if (now - d->lastForward >= d->options.forwardInterval) {
        d->lastForward = now;
        recipients.insert(recipients.end(), d->followers.begin(), d->followers.end());
    }
    return recipients;
}

}
