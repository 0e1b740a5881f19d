#include "core/customers/tokengrantor.h"

#include "common/tokenbucket.h"
#include "core/customers/limitslack.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <unordered_map>

namespace Galenahill {

namespace {

// Tokens granted ahead while the bucket is less than half full, as a part of a second's. They spare the
// nodes that send most of the calls a round trip per call.
constexpr double AheadSeconds = 0.02;

// Range of the time for which a denied node does not ask again. It grows with the number of such nodes,
// so that an overloaded customer costs its grantor some hundred requests a second at most.
constexpr Milliseconds MinDenial{20};
constexpr Milliseconds MaxDenial{250};
constexpr Milliseconds DenialPerNode{4};

// Longest time after which callers are told to come back.
constexpr Milliseconds MaxRetryAfter{5000};

// Numbers that are less than this behind the last one are repeated or late.
constexpr LeaseSequence SequenceWindow = 64;

std::uint8_t inUnits(Milliseconds time)
{
    return static_cast<std::uint8_t>(std::clamp<std::int64_t>((time + LeaseTimeUnit - Milliseconds(1)) / LeaseTimeUnit, 1, 255));
}

}

class TokenGrantor::Private
{
public:
    explicit Private(Options given)
        : options(std::move(given))
    {
    }

    // A node's last request, and how it was answered.
    struct Lessee
    {
        LeaseSequence last = 0;
        std::optional<LeaseAnswer> answer;
        TimePoint heard;
        TimePoint denied;
        // Tokens leased and not returned, whether used or not.
        std::uint32_t leased = 0;
    };

    struct Account
    {
        CustomerLimit limit;
        double share;
        TokenBucket bucket;
        // Until when the callers that were told to come back need all new tokens.
        TimePoint backlogEnd;
        std::size_t deniedNodes = 0;
        std::optional<TimePoint> lostAt;
        std::unordered_map<NodeName, Lessee> lessees;
    };

    Options options;
    std::unordered_map<CustomerHash, CustomerLimit> limits;
    std::uint32_t revision = 0;
    std::unordered_map<CustomerHash, Account> accounts;
    TimePoint lastActive;
    std::uint64_t granted = 0;
    std::uint64_t denied = 0;
    std::uint64_t dropped = 0;

    Account *account(CustomerHash customer, TimePoint now);
    TokenBucket newBucket(const CustomerLimit &limit, double share, TimePoint now) const;
    void noticePause(TimePoint now);
    void updateRate(Account &account, TimePoint now) const;
    std::optional<LeaseAnswer> answer(const NodeName &node, const LeaseRequest &request, TimePoint now);
    LeaseAnswer grant(Account &account, Lessee &lessee, const LeaseRequest &request, TimePoint now);
    void deny(Account &account, Lessee &lessee, std::uint32_t calls, LeaseAnswer &answer, TimePoint now);
    void takeBack(const NodeName &node, const LeaseReturn &returned, TimePoint now);
    bool isLate(const Lessee &lessee, LeaseSequence sequence, TimePoint now) const;
};

TokenGrantor::TokenGrantor(Options options)
    : d(std::make_unique<Private>(std::move(options)))
{
}

TokenGrantor::~TokenGrantor() = default;

std::uint64_t TokenGrantor::granted() const
{
    return d->granted;
}

std::uint64_t TokenGrantor::denied() const
{
    return d->denied;
}

std::uint64_t TokenGrantor::dropped() const
{
    return d->dropped;
}

void TokenGrantor::setCustomers(const std::vector<CustomerDefinition> &customers, Revision revision, TimePoint now)
{
    d->revision = static_cast<std::uint32_t>(revision.value());
    d->limits.clear();
    for (const auto &customer : customers) {
        d->limits.emplace(hashOf(customer.name), customer.limit);
    }
    std::erase_if(d->accounts, [this](const auto &entry) {
        const auto limit = d->limits.find(entry.first);
        return limit == d->limits.end() || !limit->second.limited();
    });
    for (auto &[customer, account] : d->accounts) {
        account.limit = d->limits.at(customer);
        d->updateRate(account, now);
    }
}

void TokenGrantor::membersChanged(TimePoint now)
{
    for (auto &[customer, account] : d->accounts) {
        if (d->options.members.isGrantor(customer)) {
            // The member that granted meanwhile may have spent everything.
            if (account.lostAt) {
                account.lostAt.reset();
                account.bucket = d->newBucket(account.limit, account.share, now);
            }
        } else if (!account.lostAt) {
            account.lostAt = now;
        }
        d->updateRate(account, now);
    }
}

// The bucket is created with a customer's first request; it has been filling since this node became the
// grantor.
TokenBucket TokenGrantor::Private::newBucket(const CustomerLimit &limit, double share, TimePoint now) const
{
    const TokenBucket::Options full{.tokensPerSecond = limit.ratePerSecond * share, .capacity = bucketCapacity(limit) * share};
    auto bucketOptions = full;
    const auto since = options.members.grantsSince();
    if (options.members.startsFull(now)) {
        bucketOptions.initialTokens = full.capacity;
    } else if (now >= since) {
        const auto seconds = std::chrono::duration<double>(now - since).count();
        bucketOptions.initialTokens = std::min(full.capacity, takeoverTokens(limit) * share + full.tokensPerSecond * seconds);
    }
    return {bucketOptions, std::max(now, since)};
}

TokenGrantor::Private::Account *TokenGrantor::Private::account(CustomerHash customer, TimePoint now)
{
    const auto known = accounts.find(customer);
    if (known != accounts.end()) {
        return &known->second;
    }
    const auto limit = limits.find(customer);
    const auto share = options.members.share(now);
    if (limit == limits.end() || !limit->second.limited() || share == 0 || !options.members.isGrantor(customer)) {
        return nullptr;
    }
    Account created{.limit = limit->second, .share = share, .bucket = newBucket(limit->second, share, now)};
    return &accounts.emplace(customer, std::move(created)).first->second;
}

void TokenGrantor::Private::updateRate(Account &account, TimePoint now) const
{
    account.share = options.members.share(now);
    const auto rate = account.lostAt ? 0 : account.limit.ratePerSecond * account.share;
    account.bucket.setRate(rate, bucketCapacity(account.limit) * account.share, now);
}

// While this node was paused, others may have spent their reserves or granted in its place.
void TokenGrantor::Private::noticePause(TimePoint now)
{
    if (lastActive != TimePoint() && now - lastActive > options.pauseLimit) {
        for (auto &[customer, account] : accounts) {
            const auto before = account.bucket.tokens(lastActive);
            const auto level = now - lastActive > options.replacedAfter ? std::min(before, takeoverTokens(account.limit) * account.share) : before;
            account.bucket = TokenBucket({.tokensPerSecond = account.limit.ratePerSecond * account.share,
                                             .capacity = bucketCapacity(account.limit) * account.share,
                                             .initialTokens = level},
                now);
            account.lessees.clear();
        }
    }
    lastActive = std::max(lastActive, now);
}

void TokenGrantor::tick(TimePoint now)
{
    d->noticePause(now);
    std::erase_if(d->accounts, [&](const auto &entry) { return entry.second.lostAt && now - *entry.second.lostAt > d->options.handoverTime; });
    for (auto &[customer, account] : d->accounts) {
        std::erase_if(account.lessees, [&](const auto &entry) { return now - entry.second.heard > d->options.requestRetention; });
        const auto denied = std::count_if(
            account.lessees.begin(), account.lessees.end(), [&](const auto &entry) { return now - entry.second.denied < std::chrono::seconds(1); });
        account.deniedNodes = static_cast<std::size_t>(denied);
        if (account.share != d->options.members.share(now)) {
            d->updateRate(account, now);
        }
    }
}

void TokenGrantor::receive(const Endpoint &from, const LeaseMessage &message, TimePoint now)
{
    const auto *node = d->options.members.sender(from);
    if (node == nullptr || message.requests.size() > MaxLeaseEntries || message.returns.size() > MaxLeaseEntries) {
        ++d->dropped;
        return;
    }
    d->noticePause(now);
    for (const auto &returned : message.returns) {
        d->takeBack(*node, returned, now);
    }
    LeaseMessage response{.revision = d->revision};
    for (const auto &request : message.requests) {
        if (const auto answer = d->answer(*node, request, now)) {
            response.answers.push_back(*answer);
        }
    }
    if (!response.answers.empty()) {
        d->options.send(from, response);
    }
}

bool TokenGrantor::Private::isLate(const Lessee &lessee, LeaseSequence sequence, TimePoint now) const
{
    const bool known = lessee.heard != TimePoint() && now - lessee.heard <= options.requestRetention;
    return known && static_cast<LeaseSequence>(lessee.last - sequence) < SequenceWindow;
}

// Leaves the request unanswered if this node can't decide on it, so that the node uses its reserve.
std::optional<LeaseAnswer> TokenGrantor::Private::answer(const NodeName &node, const LeaseRequest &request, TimePoint now)
{
    const auto limit = limits.find(request.customer);
    if (limit != limits.end() && !limit->second.limited()) {
        const auto tokens = static_cast<std::uint16_t>(request.waiting + request.ahead);
        return LeaseAnswer{.customer = request.customer, .sequence = request.sequence, .tokens = tokens};
    }
    auto *found = account(request.customer, now);
    if (found == nullptr || found->share == 0) {
        return std::nullopt;
    }
    auto &lessee = found->lessees[node];
    if (isLate(lessee, request.sequence, now)) {
        return request.sequence == lessee.last ? lessee.answer : std::nullopt;
    }
    lessee.last = request.sequence;
    lessee.heard = now;
    lessee.answer = grant(*found, lessee, request, now);
    return lessee.answer;
}

LeaseAnswer TokenGrantor::Private::grant(Account &account, Lessee &lessee, const LeaseRequest &request, TimePoint now)
{
    const auto level = account.bucket.tokens(now);
    const auto forWaiting = std::min<double>(request.waiting, std::floor(level));
    const auto left = level - forWaiting;
    const auto spare = std::max(left - bucketCapacity(account.limit) * account.share / 2, std::min(left, account.limit.ratePerSecond * AheadSeconds));
    const auto ahead = std::min<double>(request.ahead, std::floor(spare));
    LeaseAnswer answer{.customer = request.customer, .sequence = request.sequence, .tokens = static_cast<std::uint16_t>(forWaiting + ahead)};
    for (std::uint16_t token = 0; token < answer.tokens; ++token) {
        account.bucket.tryTake(now);
    }
    granted += answer.tokens;
    lessee.leased += answer.tokens;
    const auto unserved = request.waiting - static_cast<std::uint32_t>(forWaiting);
    if (unserved > 0) {
        deny(account, lessee, unserved + request.rejected, answer, now);
    }
    return answer;
}

// The callers that have been told to come back are spaced at the rate, so that they find tokens.
void TokenGrantor::Private::deny(Account &account, Lessee &lessee, std::uint32_t calls, LeaseAnswer &answer, TimePoint now)
{
    denied += calls;
    lessee.denied = now;
    const auto untilNext = std::chrono::ceil<Milliseconds>(account.bucket.timeUntil(1, now));
    const auto spread = DenialPerNode * static_cast<std::int64_t>(account.deniedNodes);
    answer.deniedFor = inUnits(std::clamp(std::max(untilNext, spread), MinDenial, MaxDenial));
    const auto from = std::max(account.backlogEnd, now + untilNext);
    answer.retryAfter = inUnits(std::chrono::ceil<Milliseconds>(from - now));
    const auto spacing = std::chrono::duration<double>(calls / std::max(account.limit.ratePerSecond * account.share, 0.01));
    account.backlogEnd
        = std::min<TimePoint>(from + std::chrono::duration_cast<Clock::duration>(std::min(spacing, std::chrono::duration<double>(60))), now + MaxRetryAfter);
}

void TokenGrantor::Private::takeBack(const NodeName &node, const LeaseReturn &returned, TimePoint now)
{
    const auto found = accounts.find(returned.customer);
    if (found == accounts.end()) {
        return;
    }
    const auto known = found->second.lessees.find(node);
    if (known == found->second.lessees.end() || isLate(known->second, returned.sequence, now)) {
        return;
    }
    auto &lessee = known->second;
    lessee.last = returned.sequence;
    lessee.answer.reset();
    const auto tokens = std::min<std::uint32_t>(returned.tokens, lessee.leased);
    lessee.leased -= tokens;
    for (std::uint32_t token = 0; token < tokens; ++token) {
        found->second.bucket.giveBack(now);
    }
}

}
