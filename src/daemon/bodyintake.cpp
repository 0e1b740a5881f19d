#include "daemon/bodyintake.h"

#include <algorithm>

namespace Galenahill {

namespace {

// Longest body that is held, and all of them together: with the few that the link
// carries at once, more would mean that the target has stopped taking calls.
constexpr std::uint64_t MaxHeldBody = 1024 * 1024;
constexpr std::uint64_t MaxHeldBodies = 16 * 1024 * 1024;

constexpr std::size_t PartBytes = 64 * 1024;

}

BodyIntake::BodyIntake(asio::io_context &context, LinkSchedule::Options link, SlotLine &slots)
    : m_slots(slots)
    , m_line(std::make_shared<BodyLine>(context, link))
{
}

bool BodyIntake::takes(const BodySource *body)
{
    return body != nullptr && body->length() && *body->length() > 0 && *body->length() <= MaxHeldBody;
}

// One that may not wait is offered elsewhere first, unless it can come at once. One
// that may comes to an idle target even if its answer is expected late: refused, it
// would leave slots empty, and no answer would ever correct what is expected.
bool BodyIntake::mayCome(const SlotCall &call, std::uint64_t length, TimePoint arrival) const
{
    if (m_heldBytes + length > MaxHeldBodies) {
        return false;
    }
    const bool idle = m_line->free() && m_slots.running() < m_slots.limit();
    const bool inTime = m_slots.canStartAt(call, arrival);
    return call.terms.mayWait ? idle || inTime : idle && inTime;
}

asio::awaitable<BodyIntake::Outcome> BodyIntake::take(HttpRequest &request, SlotCall &call, ServerConnection &connection)
{
    auto &body = *connection.requestBody();
    const auto length = *body.length();
    Outcome outcome{.arrival = m_line->arrival(length)};
    if (!mayCome(call, length, outcome.arrival)) {
        co_return outcome;
    }
    const bool entered = co_await m_line->enter(length, connection);
    if (!entered) {
        outcome.arrival = m_line->arrival(length);
        co_return outcome;
    }
    m_heldBytes += length;
    call.heldBytes = length;
    outcome.error = co_await read(request, body);
    m_line->leave();
    outcome.end = outcome.error ? End::CutOff : End::Here;
    // Elsewhere the body would have to come once more.
    call.terms.mayWait = true;
    call.terms.waitLeft.reset();
    co_return outcome;
}

asio::awaitable<ErrorCode> BodyIntake::read(HttpRequest &request, BodySource &body)
{
    request.body().reserve(*body.length());
    ErrorCode error;
    while (!error && !body.done()) {
        error = co_await body.read(request.body(), std::min<std::uint64_t>(*body.length() - request.body().size(), PartBytes));
    }
    co_return error;
}

void BodyIntake::release(std::uint64_t bytes)
{
    m_heldBytes -= bytes;
}

void BodyIntake::refuseWaiting()
{
    m_line->refuseWaiting();
}

}
