#include "daemon/calls/bodyreceiver.h"

#include <algorithm>

namespace Galenahill {

namespace {

// Longest body that is buffered, and limit for all of them together. Since the link carries only a few
// bodies at a time, a higher total would mean that the target has stopped accepting calls.
constexpr std::uint64_t MaxBufferedBody = 1024 * 1024;
constexpr std::uint64_t MaxBufferedBodies = 16 * 1024 * 1024;

constexpr std::size_t PartBytes = 64 * 1024;

}

BodyReceiver::BodyReceiver(asio::io_context &context, LinkSchedule::Options link, SlotQueue &slots)
    : m_slots(slots)
    , m_queue(std::make_shared<BodyQueue>(context, link))
{
}

bool BodyReceiver::buffers(const BodySource *body)
{
    return body != nullptr && body->length() && *body->length() > 0 && *body->length() <= MaxBufferedBody;
}

// A call that may not wait is rejected, to be offered elsewhere first, unless its body can start at
// once. A call that may wait is accepted by an idle target even if its response is expected late: if
// it were rejected, slots would stay empty and no response would ever correct the estimate.
bool BodyReceiver::mayReceive(const SlotCall &call, std::uint64_t length, TimePoint arrival) const
{
    if (m_bufferedBytes + length > MaxBufferedBodies) {
        return false;
    }
    const bool idle = m_queue->canBegin() && m_slots.freeSlots() > 0;
    const bool inTime = m_slots.canMeetObjective(call, arrival);
    return call.terms.mayWait ? idle || inTime : idle && inTime;
}

asio::awaitable<BodyReceiver::ReceiveResult> BodyReceiver::receive(HttpRequest &request, SlotCall &call, ServerConnection &connection)
{
    auto &body = *connection.requestBody();
    const auto length = *body.length();
    ReceiveResult result{.arrival = m_queue->expectedArrival(length)};
    if (!mayReceive(call, length, result.arrival)) {
        co_return result;
    }
    const bool admitted = co_await m_queue->waitForTransfer(length, connection);
    if (!admitted) {
        result.arrival = m_queue->expectedArrival(length);
        co_return result;
    }
    m_bufferedBytes += length;
    call.bufferedBytes = length;
    result.error = co_await read(request, body);
    m_queue->endTransfer();
    result.status = result.error ? Status::Interrupted : Status::Complete;
    // Another sidecar would have to receive the body again, so the call waits here.
    call.terms.mayWait = true;
    call.terms.waitLeft.reset();
    co_return result;
}

asio::awaitable<ErrorCode> BodyReceiver::read(HttpRequest &request, BodySource &body)
{
    request.body().reserve(*body.length());
    ErrorCode error;
    while (!error && !body.done()) {
        error = co_await body.read(request.body(), std::min<std::uint64_t>(*body.length() - request.body().size(), PartBytes));
    }
    co_return error;
}

void BodyReceiver::release(std::uint64_t bytes)
{
    m_bufferedBytes -= bytes;
}

void BodyReceiver::rejectWaiting()
{
    m_queue->rejectWaiting();
}

}
