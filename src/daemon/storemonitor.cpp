#include "daemon/storemonitor.h"

#include <utility>

namespace Galenahill {

class StoreMonitor::Private : public std::enable_shared_from_this<StoreMonitor::Private>
{
public:
    explicit Private(Options given)
        : options(std::move(given))
        , freshness(options.freshness)
    {
    }

    Options options;
    mutable StoreFreshness freshness;
    bool stoodIn = false;
    bool lastCheckFailed = false;
    std::uint64_t checks = 0;
    std::uint64_t failedChecks = 0;

    asio::awaitable<void> check();
    void logRole();
    void passOn(bool toWatchers);
    Milliseconds age() const;
};

StoreMonitor::StoreMonitor(Options options)
    : d(std::make_shared<Private>(std::move(options)))
{
}

StoreMonitor::~StoreMonitor() = default;

void StoreMonitor::setMembers(const std::vector<MemberRecord> &live)
{
    d->freshness.setMembers(live);
}

void StoreMonitor::tick()
{
    d->logRole();
    if (!d->options.stopping && !d->options.rereads() && d->freshness.startCheck(Clock::now())) {
        asio::co_spawn(d->options.context, d->check(), asio::detached);
    }
}

asio::awaitable<void> StoreMonitor::Private::check()
{
    const auto keep = shared_from_this();
    const auto begin = Clock::now();
    const auto ageBefore = age();
    const auto known = freshness.last(begin);
    const auto version = co_await options.check(known ? known->version : ObjectVersion());
    ++checks;
    if (version) {
        freshness.checkSucceeded(Clock::now());
        lastCheckFailed = false;
        co_return;
    }
    ++failedChecks;
    freshness.checkFailed(Clock::now());
    if (!std::exchange(lastCheckFailed, true)) {
        options.log(LogLevel::Warning, "store-check-failed", {{"reading_age_ms", ageBefore.count()}, {"reason", version.error().message}});
    }
}

void StoreMonitor::Private::logRole()
{
    const bool standsIn = freshness.standsIn(Clock::now());
    if (std::exchange(stoodIn, standsIn) != standsIn) {
        options.log(LogLevel::Info, "store-stand-in", {{"stands_in", standsIn}, {"reading_age_ms", age().count()}});
    }
}

void StoreMonitor::storeRead(ObjectVersion version, TimePoint asOf, bool all)
{
    const auto now = Clock::now();
    const StoreReading reading{.revision = d->options.revision(),
        .version = version,
        .reader = d->options.freshness.self.name,
        .ageMs = static_cast<std::uint32_t>(std::chrono::duration_cast<Milliseconds>(now - asOf).count())};
    if (d->freshness.update(reading, now)) {
        d->passOn(all);
    }
}

void StoreMonitor::storeFailed()
{
    d->freshness.checkFailed(Clock::now());
}

// A member that is behind has nothing to pass on: others would take its old revision for the store's.
void StoreMonitor::readingReceived(const Endpoint &from, const StoreReading &reading)
{
    if (!d->freshness.isMember(from)) {
        return;
    }
    if (reading.revision > d->options.revision()) {
        d->options.revisionAdvertised(from, reading.revision);
        return;
    }
    if (d->freshness.update(reading, Clock::now())) {
        d->passOn(false);
    }
}

void StoreMonitor::Private::passOn(bool toWatchers)
{
    const auto now = Clock::now();
    const auto reading = freshness.last(now);
    for (const auto &recipient : freshness.recipients(toWatchers, now)) {
        options.send(recipient, *reading);
    }
}

Milliseconds StoreMonitor::Private::age() const
{
    return freshness.age(Clock::now());
}

bool StoreMonitor::standsIn() const
{
    return d->freshness.standsIn(Clock::now());
}

Milliseconds StoreMonitor::age() const
{
    return d->age();
}

std::uint64_t StoreMonitor::checks() const
{
    return d->checks;
}

std::uint64_t StoreMonitor::failedChecks() const
{
    return d->failedChecks;
}

}
