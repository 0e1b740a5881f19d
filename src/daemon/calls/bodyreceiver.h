#pragma once

#include "daemon/calls/bodyqueue.h"
#include "daemon/calls/slotqueue.h"

namespace Galenahill {

// Buffers the bodies of calls before the calls take a slot of the target; otherwise a call would hold
// its slot for as long as its body takes on a slow link. Bodies that are too long to be buffered are
// left to be streamed to the target. Used on the data thread only.
class BodyReceiver
{
public:
    enum class Status {
        Complete,
        // The body could not arrive in time; no part of it was received.
        Rejected,
        Interrupted,
    };

    struct ReceiveResult
    {
        Status status = Status::Rejected;
        // Expected time at which the body would have been complete.
        TimePoint arrival;
        ErrorCode error;
    };

    BodyReceiver(asio::io_context &context, LinkSchedule::Options link, SlotQueue &slots);

    // Whether the body is to be buffered here. Null means that no part of the body is still to arrive.
    static bool buffers(const BodySource *body);

    // Receives the body once the link has capacity for it, if the call can then still be in time.
    asio::awaitable<ReceiveResult> receive(HttpRequest &request, SlotCall &call, ServerConnection &connection);

    // Releases the memory of a buffered body of that length, at the end of its call.
    void release(std::uint64_t bytes);

    // Rejects the bodies that wait for the link.
    void rejectWaiting();

private:
    bool mayReceive(const SlotCall &call, std::uint64_t length, TimePoint arrival) const;
    static asio::awaitable<ErrorCode> read(HttpRequest &request, BodySource &body);

    SlotQueue &m_slots;
    std::shared_ptr<BodyQueue> m_queue;
    std::uint64_t m_bufferedBytes = 0;
};

}
