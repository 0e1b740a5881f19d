#include "daemon/calls/customerlimits.h"

#include "core/customers/tokengrantor.h"

#include <algorithm>
#include <fmt/format.h>
#include <unordered_map>

namespace Galenahill {

namespace {

// Time between two looks at the requests of a call that waits; answers end the wait at once.
constexpr Milliseconds WaitCheckInterval{20};

// Time between two lines at info level about rejected calls; each is logged at debug level.
constexpr Milliseconds InfoInterval{1000};

// A call that waits for the lessee's decision.
struct Wait
{
    asio::steady_timer timer;
    std::optional<TokenDecision> decision;
};

}

class CustomerLimits::Private
{
public:
    explicit Private(Options given)
        : options(std::move(given))
        , members({.self = options.self.name, .firstStart = options.firstStart, .started = Clock::now()})
        , grantor({.members = members, .send = [this](const Endpoint &to, const LeaseMessage &message) { send(to, message); }})
        , lessee({.members = members,
              .firstSequence = static_cast<LeaseSequence>(options.seed ^ (options.seed >> 16)),
              .send = [this](const Endpoint &to, const LeaseMessage &message) { send(to, message); },
              .decided = [this](WaiterId waiter, const TokenDecision &decision) { decided(waiter, decision); }})
    {
    }

    Options options;
    LimitMembers members;
    TokenGrantor grantor;
    TokenLessee lessee;
    Revision revision;
    std::uint64_t nextWaiter = 1;
    std::unordered_map<WaiterId, std::shared_ptr<Wait>> waits;
    std::uint64_t datagrams = 0;
    TimePoint nextInfo;
    std::int64_t deniedSinceInfo = 0;
    // Messages that this node sends to itself are posted. Expires with this object.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    void send(const Endpoint &to, const LeaseMessage &message);
    void receive(const Endpoint &from, const LeaseMessage &message);
    void decided(WaiterId waiter, const TokenDecision &decision);
    void logDenial(const CustomerName &customer, const TokenDecision &denied);
};

CustomerLimits::CustomerLimits(Options options)
    : d(std::make_unique<Private>(std::move(options)))
{
    setMembers({d->options.self});
}

CustomerLimits::~CustomerLimits() = default;

// The lessee and the grantor must not be called from their hooks.
void CustomerLimits::Private::send(const Endpoint &to, const LeaseMessage &message)
{
    if (to != options.self.control()) {
        ++datagrams;
        options.send(to, message);
        return;
    }
    asio::post(options.context, [this, message, guard = std::weak_ptr(alive)] {
        if (!guard.expired()) {
            receive(options.self.control(), message);
        }
    });
}

void CustomerLimits::Private::receive(const Endpoint &from, const LeaseMessage &message)
{
    const auto now = Clock::now();
    grantor.receive(from, message, now);
    lessee.receive(from, message, now);
}

void CustomerLimits::Private::decided(WaiterId waiter, const TokenDecision &decision)
{
    const auto found = waits.find(waiter);
    if (found != waits.end()) {
        found->second->decision = decision;
        found->second->timer.cancel();
        waits.erase(found);
    }
}

asio::awaitable<TokenDecision> CustomerLimits::acquire(CustomerName customer)
{
    const WaiterId waiter(d->nextWaiter++);
    auto decision = d->lessee.acquire(customer, waiter, Clock::now());
    if (decision.status == TokenDecision::Status::Waiting) {
        const auto wait = std::make_shared<Wait>(Wait{.timer = asio::steady_timer(d->options.context)});
        d->waits.emplace(waiter, wait);
        while (!wait->decision) {
            ErrorCode ignored;
            wait->timer.expires_after(WaitCheckInterval);
            co_await wait->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            if (!wait->decision) {
                d->lessee.tick(Clock::now());
            }
        }
        decision = *wait->decision;
    }
    if (decision.status == TokenDecision::Status::Denied) {
        d->logDenial(customer, decision);
    }
    co_return decision;
}

void CustomerLimits::release(const CustomerName &customer, const TokenDecision &granted)
{
    d->lessee.release(customer, granted.reserveUsed, Clock::now());
}

void CustomerLimits::tick()
{
    const auto now = Clock::now();
    d->members.tick(now);
    d->lessee.tick(now);
    d->grantor.tick(now);
}

void CustomerLimits::heard()
{
    d->members.heard(Clock::now());
}

void CustomerLimits::messageReceived(const Endpoint &from, const LeaseMessage &message)
{
    d->receive(from, message);
}

void CustomerLimits::setMembers(const std::vector<MemberRecord> &members)
{
    const auto now = Clock::now();
    d->members.setMembers(members, now);
    d->grantor.membersChanged(now);
    d->lessee.membersChanged(now);
}

void CustomerLimits::setConfig(const std::shared_ptr<const ConfigRevision> &config)
{
    if (!config || config->revision() == d->revision) {
        return;
    }
    const auto now = Clock::now();
    d->revision = config->revision();
    d->grantor.setCustomers(config->snapshot->customers(), d->revision, now);
    d->lessee.setCustomers(config->snapshot->customers(), d->revision, now);
}

NodeGauges CustomerLimits::gauges() const
{
    const auto &counters = d->lessee.counters();
    return {{"limit_tokens_used", static_cast<double>(counters.granted)},
        {"limit_calls_denied", static_cast<double>(counters.denied)},
        {"limit_reserve_used", static_cast<double>(counters.reserveUsed)},
        {"limit_requests_unanswered", static_cast<double>(counters.unanswered)},
        {"limit_tokens_granted", static_cast<double>(d->grantor.granted())},
        {"limit_datagrams", static_cast<double>(d->datagrams)},
        {"limit_datagrams_dropped", static_cast<double>(d->grantor.dropped())}};
}

// An overloaded customer has thousands of calls rejected a second.
void CustomerLimits::Private::logDenial(const CustomerName &customer, const TokenDecision &denied)
{
    const auto now = Clock::now();
    ++deniedSinceInfo;
    const bool inform = now >= nextInfo;
    options.log(inform ? LogLevel::Info : LogLevel::Debug,
        "customer-over-limit",
        {{"customer", customer.value()},
            {"rate_per_s", denied.limit.ratePerSecond},
            {"burst", denied.limit.burst},
            {"balance", static_cast<std::int64_t>(denied.balance)},
            {"answer_age_ms", denied.answerAge.count()},
            {"grantor_silent", denied.grantorSilent},
            {"retry_after_ms", denied.retryAfter.count()},
            {"denied", inform ? std::exchange(deniedSinceInfo, 0) : deniedSinceInfo}});
    if (inform) {
        nextInfo = now + InfoInterval;
    }
}

std::string denialText(const CustomerName &customer, const TokenDecision &denied)
{
    return fmt::format("customer limit: {} has used its limit of {} calls/s and bursts of {}{} (last answer of its grantor {} ms ago)",
        customer.value(),
        denied.limit.ratePerSecond,
        denied.limit.burst,
        denied.grantorSilent ? " as far as this node knows; the grantor does not answer and the reserve is used up" : "",
        denied.answerAge.count());
}

}
