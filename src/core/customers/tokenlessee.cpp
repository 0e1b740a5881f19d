#include "core/customers/tokenlessee_p.h"

#include <algorithm>
#include <cmath>

namespace Galenahill {

namespace {

// Longest time after which callers are told to come back.
constexpr Milliseconds MaxRetryAfter{5000};

}

TokenLessee::TokenLessee(Options options)
    : d(std::make_unique<Private>(std::move(options)))
{
}

TokenLessee::~TokenLessee() = default;

const TokenLessee::Counters &TokenLessee::counters() const
{
    return d->counters;
}

std::uint32_t TokenLessee::balance(const CustomerName &customer) const
{
    const auto *lease = d->find(customer);
    return lease == nullptr ? 0 : lease->balance;
}

TokenLessee::Private::Lease *TokenLessee::Private::find(const CustomerName &customer)
{
    const auto found = leases.find(hashOf(customer));
    return found == leases.end() ? nullptr : &found->second;
}

// Calls that wait for a token of a customer without a limit, or without a definition, may run: the
// revision that limited them is no longer in force.
void TokenLessee::setCustomers(const std::vector<CustomerDefinition> &customers, Revision revision, TimePoint now)
{
    d->revision = static_cast<std::uint32_t>(revision.value());
    std::unordered_map<CustomerHash, const CustomerDefinition *> limited;
    for (const auto &customer : customers) {
        if (customer.limit.limited()) {
            limited.emplace(hashOf(customer.name), &customer);
        }
    }
    std::vector<WaiterId> freed;
    std::erase_if(d->leases, [&](auto &entry) {
        if (limited.contains(entry.first)) {
            return false;
        }
        std::transform(entry.second.waiters.begin(), entry.second.waiters.end(), std::back_inserter(freed), [](const auto &waiter) { return waiter.id; });
        return true;
    });
    for (const auto &[hash, customer] : limited) {
        const auto known = d->leases.find(hash);
        if (known == d->leases.end()) {
            d->leases.emplace(hash,
                Private::Lease{
                    .name = customer->name, .hash = hash, .limit = customer->limit, .reserve = {d->options.cutOffDelay, d->options.members.phase(hash), now}});
        } else {
            d->fillReserve(known->second, now);
            d->limitChanged(known->second, customer->limit);
            d->fillReserve(known->second, now);
        }
    }
    for (const auto waiter : freed) {
        d->options.decided(waiter, {});
    }
}

// A failed grantor and a partition look alike at first. It is taken for the former while others answer
// and hardly any other is silent or suspected.
void TokenLessee::Private::fillReserve(Lease &lease, TimePoint now) const
{
    const auto fewSilent = silent.size() <= std::max<std::size_t>(1, options.members.known(now) / 100);
    const auto othersAnswer = lastAnswer != TimePoint() && now - lastAnswer <= options.answerValidity;
    lease.reserve.update(lease.limit, options.members, fewSilent && othersAnswer && !options.members.mayBePartitioned(), now);
}

void TokenLessee::Private::limitChanged(Lease &lease, const CustomerLimit &limit) const
{
    const auto ratio = std::min(limit.ratePerSecond / lease.limit.ratePerSecond, limit.burst / std::max(lease.limit.burst, 1.0));
    if (ratio < 1) {
        lease.balance = static_cast<std::uint32_t>(lease.balance * ratio);
        lease.loweredTo = ratio;
        lease.loweredIn = revision;
    }
    lease.limit = limit;
}

void TokenLessee::membersChanged(TimePoint now)
{
    std::erase_if(d->silent, [this](const auto &grantor) { return d->options.members.sender(grantor) == nullptr; });
    for (auto &[hash, lease] : d->leases) {
        d->fillReserve(lease, now);
        if (lease.outstanding && lease.outstanding->grantor != d->options.members.grantorOf(hash).control()) {
            d->request(lease, now);
        }
    }
}

void TokenLessee::Private::recordCall(Lease &lease, TimePoint now) const
{
    const auto elapsed = std::chrono::duration<double>(now - lease.lastCall).count();
    lease.demand = lease.demand * std::exp(-std::max(elapsed, 0.0) / DemandSeconds) + 1 / DemandSeconds;
    lease.lastCall = now;
}

// After a pause of this node, the tokens may be older than the bound allows.
void TokenLessee::Private::dropExpired(Lease &lease, TimePoint now) const
{
    if (now - lease.used > 2 * options.unusedTime) {
        lease.balance = 0;
    }
}

TokenDecision TokenLessee::acquire(const CustomerName &customer, WaiterId waiter, TimePoint now)
{
    auto *lease = d->find(customer);
    if (lease == nullptr) {
        return {};
    }
    d->recordCall(*lease, now);
    d->dropExpired(*lease, now);
    if (lease->balance > 0) {
        --lease->balance;
        lease->used = now;
        ++d->counters.granted;
        d->refillAhead(*lease, now);
        return d->decision(*lease, TokenDecision::Status::Granted, now);
    }
    if (now < lease->deniedUntil) {
        ++lease->rejected;
        return d->deny(*lease, now);
    }
    lease->waiters.push_back({waiter, now});
    if (!lease->outstanding) {
        d->request(*lease, now);
    }
    return d->decision(*lease, TokenDecision::Status::Waiting, now);
}

void TokenLessee::cancel(const CustomerName &customer, WaiterId waiter)
{
    if (auto *lease = d->find(customer)) {
        std::erase_if(lease->waiters, [&](const auto &entry) { return entry.id == waiter; });
    }
}

void TokenLessee::release(const CustomerName &customer, bool fromReserve, TimePoint now)
{
    auto *lease = d->find(customer);
    if (lease == nullptr) {
        return;
    }
    if (fromReserve) {
        lease->reserve.giveBack();
        return;
    }
    d->dropExpired(*lease, now);
    ++lease->balance;
    lease->used = now;
    d->serveWaiters(*lease, now);
}

void TokenLessee::receive(const Endpoint &from, const LeaseMessage &message, TimePoint now)
{
    for (const auto &answer : message.answers) {
        d->answered(from, answer, message.revision, now);
    }
}

TokenDecision TokenLessee::Private::decision(const Lease &lease, TokenDecision::Status status, TimePoint now)
{
    return {.status = status,
        .limit = lease.limit,
        .balance = lease.balance,
        .answerAge = lease.lastAnswer ? std::chrono::duration_cast<Milliseconds>(now - *lease.lastAnswer) : Milliseconds(-1)};
}

// Callers that are rejected one after the other are told to come back one after the other.
TokenDecision TokenLessee::Private::deny(Lease &lease, TimePoint now)
{
    ++counters.denied;
    auto denied = decision(lease, TokenDecision::Status::Denied, now);
    lease.nextCapacity = std::max(lease.nextCapacity, now);
    denied.retryAfter = std::min(MaxRetryAfter, std::chrono::ceil<Milliseconds>(lease.nextCapacity - now) + Milliseconds(1));
    if (denied.retryAfter < MaxRetryAfter) {
        lease.nextCapacity += std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(std::min(1 / lease.limit.ratePerSecond, 60.0)));
    }
    return denied;
}

void TokenLessee::tick(TimePoint now)
{
    std::map<Endpoint, LeaseMessage> messages;
    for (auto &[hash, lease] : d->leases) {
        d->tickRequests(lease, now);
        d->returnUnused(lease, messages, now);
        const auto full = messages.find(lease.grantor);
        if (full != messages.end() && full->second.returns.size() >= MaxLeaseEntries) {
            d->options.send(full->first, full->second);
            messages.erase(full);
        }
    }
    for (const auto &[grantor, message] : messages) {
        d->options.send(grantor, message);
    }
}

}
