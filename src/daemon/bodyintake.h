#pragma once

#include "daemon/bodyline.h"
#include "daemon/slotline.h"

namespace Galenahill {

// Takes the bodies of calls whole before the calls get a slot of the target: the
// target would else hold the slot for the time that a slow link needs. Bodies that
// are too long to be held are left to be passed on while they arrive. Used on the
// data thread only.
class BodyIntake
{
public:
    enum class End {
        Here,
        // Nothing of it came; it couldn't be here in time.
        Refused,
        CutOff,
    };

    struct Outcome
    {
        End end = End::Refused;
        // When it would have been here.
        TimePoint arrival;
        ErrorCode error;
    };

    BodyIntake(asio::io_context &context, LinkSchedule::Options link, SlotLine &slots);

    // Whether the call has a body that is taken here; null: it has none to come.
    static bool takes(const BodySource *body);

    // Lets the body come once the link is free for it, if the call can then still
    // be in time.
    asio::awaitable<Outcome> take(HttpRequest &request, SlotCall &call, ServerConnection &connection);

    // The call of that length is over.
    void release(std::uint64_t bytes);

    // Refuses the bodies that wait for the link.
    void refuseWaiting();

private:
    bool mayCome(const SlotCall &call, std::uint64_t length, TimePoint arrival) const;
    static asio::awaitable<ErrorCode> read(HttpRequest &request, BodySource &body);

    SlotLine &m_slots;
    std::shared_ptr<BodyLine> m_line;
    std::uint64_t m_heldBytes = 0;
};

}
