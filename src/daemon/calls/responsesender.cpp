#include "daemon/calls/responsesender.h"

#include "daemon/calls/pacedbody.h"

#include <algorithm>

namespace Galenahill {

namespace {

using Microseconds = std::chrono::microseconds;

// Service time assumed before the first response, as a share of the time left until the objective, and
// without an objective.
constexpr double AssumedServiceShare = 1.0 / 3;
constexpr Microseconds UnknownServiceTime{300000};

// Longest time between two checks of the schedule while calls or responses wait. Finds stalled
// transfers, calls that cannot be complete any more, and responses whose deadline has passed.
constexpr Milliseconds CheckInterval{50};

Milliseconds milliseconds(Clock::duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration);
}

}

// A call from its offer to the end of its response.
struct ResponseSender::Pending
{
    explicit Pending(asio::io_context &context)
        : timer(context, TimePoint::max())
    {
    }

    asio::steady_timer timer;
    TimePoint admittedAt;
    bool waitsForAdmission = true;
    bool waits = false;
    // What the last wait ended with: bytes to send, one for an admission, or zero.
    std::uint64_t granted = 0;
};

ResponseSender::ResponseSender(Options options)
    : m_options(std::move(options))
    , m_schedule(m_options.schedule)
    , m_share({.bytesPerSecond = m_options.schedule.bytesPerSecond, .least = m_options.schedule.responseFraction})
    , m_sizes({})
    , m_timer(m_options.context)
{
}

bool ResponseSender::enabled() const
{
    return m_options.schedule.bytesPerSecond > 0;
}

// A call without an objective is on time until its deadline.
ResponseSchedule::Call ResponseSender::describe(const SlotCall &call, TimePoint now)
{
    const auto objective = std::min(call.objective, call.deadline);
    if (call.objective != TimePoint::max() && call.objective > now) {
        m_times.assume(call.route, std::chrono::duration_cast<Microseconds>((call.objective - now) * AssumedServiceShare));
    }
    const auto size = m_sizes.estimate(call.route, now);
    const auto serviceTime = m_times.average(call.route);
    return {.objective = objective,
        .deadline = call.deadline,
        .bytes = size.mean,
        .serviceTime = serviceTime.count() > 0 ? serviceTime : UnknownServiceTime,
        .highBytes = size.high,
        .highServiceTime = m_times.high(call.route)};
}

asio::awaitable<bool> ResponseSender::admit(SlotCall &call, ServerConnection &connection)
{
    const auto now = Clock::now();
    const auto described = describe(call, now);
    const auto expectedCompletion = m_schedule.expectedCompletion(described, now);
    const ResponseTicket ticket(m_nextTicket++);
    if (!m_schedule.add(ticket, described, call.terms.mayWait, now)) {
        logDecision("rejected", call, expectedCompletion, now);
        ++m_counts.rejected;
        co_return false;
    }
    call.responseTicket = ticket;
    const auto pending = std::make_shared<Pending>(m_options.context);
    pending->waits = true;
    m_pending.emplace(ticket, pending);
    process();
    if (pending->waits) {
        logDecision("waits", call, expectedCompletion, now);
        ++m_counts.waited;
        co_await wait(pending, connection);
    }
    if (pending->granted == 0) {
        const bool left = connection.cancellation().cancelled();
        logDecision(left ? "cancelled" : "rejected", call, expectedCompletion, Clock::now());
        m_counts.rejected += left ? 0 : 1;
        co_return false;
    }
    logDecision("admitted", call, expectedCompletion, Clock::now());
    setAdmitted(call, described, *pending);
    co_return true;
}

// The response was promised a place on the link, so the call may wait for its slot as long as the response
// can keep it.
void ResponseSender::setAdmitted(SlotCall &call, const ResponseSchedule::Call &described, Pending &pending)
{
    ++m_counts.admitted;
    pending.waitsForAdmission = false;
    pending.admittedAt = Clock::now();
    call.objective = (call.terms.mayWait ? described.deadline : described.objective) - m_schedule.linkTime(described.bytes);
    call.arrived = pending.admittedAt;
    call.terms.mayWait = true;
    call.terms.waitLeft.reset();
}

asio::awaitable<void> ResponseSender::wait(const std::shared_ptr<Pending> &pending, ServerConnection &connection)
{
    connection.cancellation().setHook([weak = std::weak_ptr(pending)] {
        if (const auto cancelled = weak.lock()) {
            wake(*cancelled, 0);
        }
    });
    ErrorCode ignored;
    if (pending->waits) {
        co_await pending->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    connection.cancellation().setHook(nullptr);
}

void ResponseSender::wake(Pending &pending, std::uint64_t granted)
{
    if (pending.waits) {
        pending.waits = false;
        pending.granted = granted;
        pending.timer.cancel();
    }
}

void ResponseSender::produced(const SlotCall &call, std::uint64_t bytes)
{
    const auto now = Clock::now();
    m_sizes.record(call.route, bytes, now);
    const auto found = m_pending.find(call.responseTicket);
    if (found != m_pending.end()) {
        m_times.record(call.route, std::chrono::duration_cast<Microseconds>(now - found->second->admittedAt));
        m_schedule.produced(call.responseTicket, bytes);
        process();
    }
}

void ResponseSender::recordSize(const RouteName &route, std::uint64_t bytes)
{
    m_sizes.record(route, bytes, Clock::now());
}

// The header is sent together with the first part: before that, the call could still be answered
// otherwise.
asio::awaitable<std::optional<HttpResponse>> ResponseSender::send(const SlotCall &call, HttpResponse response, PacedBody &body, ServerConnection &connection)
{
    const bool granted = co_await body.waitForFirstPart();
    if (!granted) {
        const bool readerLeft = connection.cancellation().cancelled();
        m_counts.dropped += readerLeft ? 0 : 1;
        logEarlyEnd(call, body, {.error = asio::error::operation_aborted, .sourceFailed = true}, readerLeft);
        co_return outcomeUnknownResponse("the call's deadline passed while the response waited for the link");
    }
    const auto result = co_await connection.sendStreamed(std::move(response), body);
    if (result.error) {
        const bool readerLeft = connection.cancellation().cancelled() || !result.sourceFailed;
        m_counts.interrupted += readerLeft || !body.givenUp() ? 0 : 1;
        logEarlyEnd(call, body, result, readerLeft);
    }
    co_return std::nullopt;
}

bool ResponseSender::takeMemory(ResponseTicket ticket, std::uint64_t bytes)
{
    return m_schedule.takeMemory(ticket, bytes);
}

asio::awaitable<std::uint64_t> ResponseSender::waitForPart(ResponseTicket ticket, std::uint64_t bytesLeft, ServerConnection &connection)
{
    const auto pending = m_pending.at(ticket);
    pending->timer.expires_at(TimePoint::max());
    pending->waits = true;
    m_schedule.requestPart(ticket, bytesLeft, Clock::now());
    process();
    if (pending->waits) {
        co_await wait(pending, connection);
    }
    co_return pending->granted;
}

void ResponseSender::end(const SlotCall &call)
{
    // While the node shuts down, calls end after the context has been stopped.
    if (m_pending.erase(call.responseTicket) > 0) {
        m_schedule.remove(call.responseTicket);
        if (!m_options.context.stopped()) {
            process();
        }
    }
}

void ResponseSender::rejectWaiting()
{
    for (const auto &[ticket, pending] : m_pending) {
        if (pending->waitsForAdmission) {
            wake(*pending, 0);
        }
    }
}

void ResponseSender::process()
{
    const auto now = Clock::now();
    updateShare(now);
    while (const auto decision = m_schedule.nextDecision(now)) {
        wake(*m_pending.at(decision->ticket), decision->admitted ? 1 : 0);
    }
    while (const auto ticket = m_schedule.expired(now)) {
        m_schedule.remove(*ticket);
        wake(*m_pending.at(*ticket), 0);
    }
    while (const auto part = m_schedule.nextPart(now)) {
        m_grantedBytes += part->bytes;
        wake(*m_pending.at(part->ticket), part->bytes);
    }
    armTimer(now);
}

void ResponseSender::updateShare(TimePoint now)
{
    if (m_options.sentBytes) {
        m_share.update(m_options.sentBytes(), m_grantedBytes, now);
        m_schedule.setResponseFraction(m_share.value());
    }
}

void ResponseSender::armTimer(TimePoint now)
{
    const bool anyWaits = std::any_of(m_pending.begin(), m_pending.end(), [](const auto &item) { return item.second->waits; });
    if (!anyWaits) {
        return;
    }
    const auto linkFreeAt = m_schedule.linkFreeAt();
    m_timer.expires_at(linkFreeAt > now ? std::min<TimePoint>(linkFreeAt, now + CheckInterval) : now + CheckInterval);
    m_timer.async_wait([weak = weak_from_this()](const ErrorCode &error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->process();
        }
    });
}

// Names who ended the response, and what was known when it ended.
void ResponseSender::logEarlyEnd(const SlotCall &call, const PacedBody &body, const StreamResult &result, bool readerLeft) const
{
    const auto left = call.deadline - Clock::now();
    const auto bytes = body.length();
    const auto missing = bytes ? m_schedule.linkTime(*bytes - std::min(result.bytes, *bytes)) : Clock::duration(0);
    m_options.log(LogLevel::Info,
        "response-ended-early",
        {{"id", call.id},
            {"route", call.route.value()},
            {"ended_by",
                readerLeft           ? "ingress"
                    : body.givenUp() ? "deadline"
                                     : "target"},
            {"reason", body.givenUp() && !readerLeft ? "the call's deadline has passed" : result.error.message()},
            {"sent_bytes", result.bytes},
            {"bytes", bytes ? static_cast<std::int64_t>(*bytes) : -1},
            {"backlog_bytes", m_schedule.backlogBytes()},
            {"missing_ms", milliseconds(missing).count()},
            {"left_ms", milliseconds(left).count()}});
}

void ResponseSender::logDecision(const char *decision, const SlotCall &call, TimePoint expectedCompletion, TimePoint now) const
{
    const auto size = m_sizes.estimate(call.route, now);
    m_options.log(LogLevel::Info,
        "response-scheduled",
        {{"id", call.id},
            {"decision", decision},
            {"route", call.route.value()},
            {"expected_bytes", size.mean},
            {"high_bytes", size.high},
            {"service_ms", std::chrono::duration_cast<Milliseconds>(m_times.average(call.route)).count()},
            {"high_service_ms", std::chrono::duration_cast<Milliseconds>(m_times.high(call.route)).count()},
            {"estimate_age_ms", size.age ? size.age->count() : -1},
            {"backlog_bytes", m_schedule.backlogBytes()},
            {"buffered_bytes", m_schedule.bufferedBytes()},
            {"waiting", m_schedule.waiting()},
            {"may_wait", call.terms.mayWait},
            {"waited_ms", milliseconds(now - call.arrived).count()},
            {"expected_ms", milliseconds(expectedCompletion - call.arrived).count()},
            {"left_ms", milliseconds(call.deadline - now).count()}});
}

Milliseconds ResponseSender::backlogTime() const
{
    return milliseconds(m_schedule.backlogTime(Clock::now()));
}

const ResponseSender::Counts &ResponseSender::counts() const
{
    return m_counts;
}

const ResponseSchedule &ResponseSender::schedule() const
{
    return m_schedule;
}

}
