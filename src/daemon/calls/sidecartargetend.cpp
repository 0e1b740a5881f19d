#include "daemon/calls/sidecar_p.h"

#include "adapters/http/sleep.h"
#include "core/calls/callheaders.h"

#include <algorithm>
#include <fmt/format.h>

namespace Galenahill {

namespace {

// Time limit for finding out whether the target still listens.
constexpr Milliseconds ListenCheckTimeout{100};

// Interval at which the target is checked after a call was given up.
constexpr Milliseconds WatchInterval{200};

// Largest number of digests in one log line.
constexpr std::size_t MaxLoggedDigests = 16;

std::string joined(const std::vector<RequestDigest> &digests)
{
    std::vector<std::string> texts;
    std::transform(
        digests.begin(), digests.begin() + static_cast<std::ptrdiff_t>(std::min(digests.size(), MaxLoggedDigests)), std::back_inserter(texts), [](auto digest) {
            return toString(digest);
        });
    return fmt::format("{}", fmt::join(texts, ","));
}

}

// A call whose connection was lost may have lost only its response. A target that leaves ends as planned.
asio::awaitable<void> Sidecar::Private::checkForTargetEnd(TargetEndDetector::Ticket ticket, const SlotCall &call)
{
    if (options.quarantine == nullptr || !endDetector.lost(ticket, Clock::now())) {
        co_return;
    }
    const auto sentTo = std::pair(targetId, targetStartedAt);
    const bool refuses = co_await options.client.refusesConnections(options.target, std::min(call.deadline, Clock::now() + ListenCheckTimeout));
    const bool isSameTarget = sentTo == std::pair(targetId, targetStartedAt);
    if (refuses && isSameTarget && state != MemberState::Draining && endDetector.isPending(ticket)) {
        targetEnded("refused connection");
        if (options.targetUnreachable) {
            options.targetUnreachable();
        }
    }
}

// The target may go on with a call that was given up, and end without a connection that tells.
asio::awaitable<void> Sidecar::Private::checkAbandonedEnd()
{
    if (options.quarantine == nullptr || !endDetector.hasAbandoned(Clock::now())) {
        co_return;
    }
    const auto sentTo = std::pair(targetId, targetStartedAt);
    const bool refuses = co_await options.client.refusesConnections(options.target, Clock::now() + ListenCheckTimeout);
    if (refuses && sentTo == std::pair(targetId, targetStartedAt) && state != MemberState::Draining) {
        targetEnded("refused connection");
    }
}

void Sidecar::Private::watchAbandoned()
{
    if (options.quarantine != nullptr && !watchesAbandoned) {
        watchesAbandoned = true;
        asio::co_spawn(options.context, watchAfterAbandoned(), asio::detached);
    }
}

asio::awaitable<void> Sidecar::Private::watchAfterAbandoned()
{
    const auto keep = shared_from_this();
    while (endDetector.hasAbandoned(Clock::now())) {
        co_await sleepFor(options.context, WatchInterval);
        co_await checkAbandonedEnd();
    }
    watchesAbandoned = false;
}

void Sidecar::Private::targetEnded(const char *recognisedBy)
{
    const auto now = Clock::now();
    const auto running = endDetector.running();
    const auto suspects = endDetector.takeSuspects(now);
    if (options.quarantine == nullptr || suspects.empty()) {
        return;
    }
    options.log(LogLevel::Warning,
        "target-ended",
        {{"target", targetId},
            {"version", targetVersion.value()},
            {"recognised_by", recognisedBy},
            {"running", running},
            {"suspects", suspects.size()},
            {"digests", joined(suspects)}});
    options.quarantine->targetEnded(targetVersion, suspects, now);
}

void Sidecar::Private::reportTargetEnds(HttpResponse &response, const SlotCall &call) const
{
    if (options.quarantine == nullptr || !call.terms.digest) {
        return;
    }
    const auto &table = options.quarantine->table();
    const auto now = Clock::now();
    const StatedEnds stated{
        .ends = table.endsOf(*call.terms.digest, now), .isQuarantined = table.standing(*call.terms.digest, now) == RequestStanding::Quarantined};
    if (stated.ends > 0) {
        response.set(CallHeaders::TargetEnds, formatTargetEnds(stated));
    }
}

}
