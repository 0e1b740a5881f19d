#include "core/customers/tokenlessee_p.h"

#include <algorithm>
#include <cmath>

namespace Galenahill {

namespace {

// Retry time while the grantor is silent: another one is found within seconds.
constexpr Milliseconds SilentRetryAfter{1000};

// Time without a new request after tokens of an older, higher limit were refused.
constexpr Milliseconds OlderLimitPause{100};

// From this many tokens ahead, a request is sent before the balance is used up.
constexpr std::uint32_t MinAheadForRefill = 4;

std::uint8_t saturated(std::size_t count)
{
    return static_cast<std::uint8_t>(std::min<std::size_t>(count, 255));
}

}

void TokenLessee::Private::request(Lease &lease, TimePoint now)
{
    // The call that has just arrived tells nothing about the next one.
    const auto demand = std::max(0.0, lease.demand - 1 / DemandSeconds);
    const auto ahead = std::round(demand * std::chrono::duration<double>(options.aheadTime).count()) - lease.balance;
    lease.lastAhead = saturated(static_cast<std::size_t>(std::max(ahead, 0.0)));
    const auto rejected = saturated(lease.rejected);
    lease.rejected -= rejected;
    lease.outstanding = Outstanding{.grantor = options.members.grantorOf(lease.hash).control(),
        .request = {.customer = lease.hash,
            .sequence = nextSequence++,
            .waiting = saturated(lease.waiters.size()),
            .ahead = static_cast<std::uint8_t>(lease.lastAhead),
            .rejected = rejected},
        .firstSent = now,
        .lastSent = now};
    ++counters.requests;
    send(lease);
}

void TokenLessee::Private::send(const Lease &lease)
{
    LeaseMessage message{.revision = revision};
    message.requests.push_back(lease.outstanding->request);
    options.send(lease.outstanding->grantor, message);
}

// Nodes with many calls ask early, so that no call waits for the next lease.
void TokenLessee::Private::refillAhead(Lease &lease, TimePoint now)
{
    if (lease.lastAhead >= MinAheadForRefill && lease.balance * 4 <= lease.lastAhead && !lease.outstanding && now >= lease.deniedUntil) {
        request(lease, now);
    }
}

void TokenLessee::Private::answered(const Endpoint &from, const LeaseAnswer &answer, std::uint32_t answerRevision, TimePoint now)
{
    const auto found = leases.find(answer.customer);
    if (found == leases.end()) {
        return;
    }
    auto &lease = found->second;
    if (!lease.outstanding || lease.outstanding->request.sequence != answer.sequence || lease.outstanding->grantor != from) {
        return;
    }
    lease.outstanding.reset();
    fillReserve(lease, now);
    lease.reserve.grantorAnswered();
    silent.erase(from);
    lease.lastAnswer = now;
    if (from != options.members.self().control()) {
        lastAnswer = now;
    }
    dropExpired(lease, now);
    const bool olderLimit = answerRevision < lease.loweredIn;
    lease.balance += olderLimit ? static_cast<std::uint32_t>(answer.tokens * lease.loweredTo) : answer.tokens;
    lease.grantor = from;
    if (answer.tokens == 0) {
        // The bucket is low; further requests ahead of the calls would get nothing either.
        lease.lastAhead = 0;
    }
    lease.used = now;
    serveWaiters(lease, now);
    if (answer.deniedFor > 0) {
        lease.deniedUntil = now + answer.deniedFor * LeaseTimeUnit;
        lease.nextCapacity = now + answer.retryAfter * LeaseTimeUnit;
        denyWaiters(lease, now);
    } else if (!lease.waiters.empty() && olderLimit) {
        lease.deniedUntil = now + OlderLimitPause;
        denyWaiters(lease, now);
    } else if (!lease.waiters.empty()) {
        request(lease, now);
    }
}

void TokenLessee::Private::serveWaiters(Lease &lease, TimePoint now)
{
    while (lease.balance > 0 && !lease.waiters.empty()) {
        const auto waiter = lease.waiters.front();
        lease.waiters.erase(lease.waiters.begin());
        --lease.balance;
        ++counters.granted;
        options.decided(waiter.id, decision(lease, TokenDecision::Status::Granted, now));
    }
}

void TokenLessee::Private::denyWaiters(Lease &lease, TimePoint now)
{
    while (!lease.waiters.empty()) {
        const auto waiter = lease.waiters.front();
        lease.waiters.erase(lease.waiters.begin());
        options.decided(waiter.id, deny(lease, now));
    }
}

void TokenLessee::Private::waitEnded(Lease &lease, const Waiter &waiter, TimePoint now)
{
    fillReserve(lease, now);
    if (lease.reserve.tryTake()) {
        ++counters.reserveUsed;
        auto granted = decision(lease, TokenDecision::Status::Granted, now);
        granted.reserveUsed = true;
        options.decided(waiter.id, granted);
        return;
    }
    ++counters.denied;
    auto denied = decision(lease, TokenDecision::Status::Denied, now);
    denied.grantorSilent = true;
    denied.retryAfter = SilentRetryAfter;
    options.decided(waiter.id, denied);
}

void TokenLessee::Private::tickRequests(Lease &lease, TimePoint now)
{
    if (lease.outstanding && now - lease.outstanding->firstSent >= options.maxWait) {
        ++counters.unanswered;
        fillReserve(lease, now);
        lease.reserve.grantorSilent(lease.outstanding->firstSent);
        silent.insert(lease.outstanding->grantor);
        lease.outstanding.reset();
    } else if (lease.outstanding && now - lease.outstanding->lastSent >= options.repeatInterval) {
        lease.outstanding->lastSent = now;
        send(lease);
    }
    while (!lease.waiters.empty() && now - lease.waiters.front().since >= options.maxWait) {
        const auto waiter = lease.waiters.front();
        lease.waiters.erase(lease.waiters.begin());
        waitEnded(lease, waiter, now);
    }
    if (!lease.outstanding && !lease.waiters.empty()) {
        request(lease, now);
    }
}

void TokenLessee::Private::returnUnused(Lease &lease, std::map<Endpoint, LeaseMessage> &messages, TimePoint now)
{
    dropExpired(lease, now);
    if (lease.balance == 0 || lease.outstanding || now - lease.used < options.unusedTime) {
        return;
    }
    if (lease.grantor == options.members.grantorOf(lease.hash).control()) {
        const auto tokens = static_cast<std::uint16_t>(std::min<std::uint32_t>(lease.balance, 65535));
        auto &message = messages[lease.grantor];
        message.revision = revision;
        message.returns.push_back({.customer = lease.hash, .sequence = nextSequence++, .tokens = tokens});
        counters.returned += tokens;
    }
    lease.balance = 0;
}

}
