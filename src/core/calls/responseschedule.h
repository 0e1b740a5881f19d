#pragma once

#include "common/identifiers.h"
#include "core/calls/transferorder.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace Galenahill {

// Schedules the large responses of one target on its VM's outbound link. Calls that can still meet
// their objective go before those that cannot, and the one with the earliest latest start runs first;
// late calls use what is left of the link. A call is admitted to run when its response would find the link
// free soon after it has been produced: earlier, the response would wait in memory; later, the link
// would be idle.
class ResponseSchedule
{
public:
    struct Options
    {
        // Speed of the link; zero if unknown, then nothing is scheduled.
        std::uint64_t bytesPerSecond = 0;
        // Fraction of the link that large responses get at first. The rest is for small responses, gossip
        // and configuration, and keeps the link's own queue short.
        double responseFraction = 0.88;
        // Large responses that are sent at a time. A single one leaves the link idle whenever its
        // reader is slow.
        std::uint32_t maxTransfers = 3;
        // Part of a response that is sent at once; a small response waits for at most one per transfer.
        std::uint64_t partBytes = 16 * 1024;
        // Admitted responses, as a multiple of what the link carries during one service time. Above one,
        // since service times and sizes vary, and a link would be idle while calls wait.
        double leadFactor = 2;
        // Admitted responses with late ones, as a multiple of that. Late ones have to be sent too, and with
        // many of them, those that can be on time would not be.
        double lateFactor = 1.4;
        // Least time that the admitted responses occupy the link, since a VM with a tenth of a core is
        // stopped for up to 90 ms at a time.
        Milliseconds minLead{100};
        // Time without progress after which the reader of a transfer counts as stalled.
        Milliseconds stallTime{500};
        // Memory for produced responses that wait for the link.
        std::uint64_t maxBufferedBytes = 5 * 1024 * 1024;
        // Calls that wait to be admitted.
        std::size_t maxWaiting = 256;
        // Time after its deadline for which a response is still sent. Deadlines are passed on in whole
        // milliseconds, and the last part may be on the link already.
        Milliseconds deadlineAllowance{20};
        // Parts that may be sent at once after this process was delayed, as the time that the link
        // takes for them. Otherwise the link would lose that time.
        Milliseconds maxCatchUp{40};
    };

    struct Call
    {
        // When the response should be complete, and when its caller leaves.
        TimePoint objective;
        TimePoint deadline;
        // Size of the response, expected until it has been produced.
        std::uint64_t bytes = 0;
        std::chrono::microseconds serviceTime{0};
        // Cautious estimates that few calls exceed. A call is not run if it could miss its deadline by
        // them; they are ignored where they are below the expected ones.
        std::uint64_t highBytes = 0;
        std::chrono::microseconds highServiceTime{0};
    };

    struct Decision
    {
        ResponseTicket ticket;
        // If false, the response could not be complete by the deadline.
        bool admitted = false;
    };

    struct Part
    {
        ResponseTicket ticket;
        std::uint64_t bytes = 0;
    };

    explicit ResponseSchedule(Options options);

    // Sets the fraction of the link that large responses get from now on.
    void setResponseFraction(double fraction);

    // Time that the link takes for that many bytes of large responses.
    Clock::duration linkTime(std::uint64_t bytes) const;

    // When the response of a further call would be complete.
    TimePoint expectedCompletion(const Call &call, TimePoint now) const;

    // Adds a call that waits to be admitted; false if it could not be complete in time, or too many
    // wait. A call that may not wait until its deadline has to meet its objective.
    bool add(ResponseTicket ticket, const Call &call, bool untilDeadline, TimePoint now);

    // The next waiting call to run or to reject; empty if there is none now.
    std::optional<Decision> nextDecision(TimePoint now);

    // The response was produced and has that size.
    void produced(ResponseTicket ticket, std::uint64_t bytes);

    // Takes memory for that many bytes of a produced response; false if there is not enough. It is
    // returned by remove().
    bool takeMemory(ResponseTicket ticket, std::uint64_t bytes);

    // The reader of the response took all parts so far, and the response wants to send another of the
    // bytes that are left.
    void requestPart(ResponseTicket ticket, std::uint64_t bytesLeft, TimePoint now);

    // The response that sends its next part now, and the length of the part; empty if there is none, or
    // the link is busy until linkFreeAt().
    std::optional<Part> nextPart(TimePoint now);
    TimePoint linkFreeAt() const;

    // A response that wants to send although its caller's deadline has passed.
    std::optional<ResponseTicket> expired(TimePoint now) const;

    // Removes a call that ended in whatever way.
    void remove(ResponseTicket ticket);

    std::size_t waiting() const;
    std::uint64_t bufferedBytes() const;

    // Bytes of the admitted responses that have not been sent, and of the calls that wait, and the time
    // that the link takes for them without the stalled ones. Ingresses compare targets by that time: by the expected completion of
    // a call that is on time and goes ahead of late ones, a target with many of those would look free.
    std::uint64_t backlogBytes() const;
    Clock::duration backlogTime(TimePoint now) const;

private:
    enum class Stage {
        Waiting,
        Running,
        Produced,
    };

    struct Entry
    {
        Call call;
        Stage stage = Stage::Waiting;
        // When it was admitted.
        TimePoint since;
        std::uint64_t memory = 0;
        // Whether no other call was there when it was added. It is not rejected for estimates then, which only a
        // response corrects.
        bool isProbe = false;
        bool started = false;
        bool wantsPart = false;
        // When its last part was granted.
        TimePoint grantedAt;
    };

    // Order of calls: late ones last, then by the latest time at which they can start.
    using Urgency = std::pair<bool, TimePoint>;

    Urgency urgencyOf(const Call &call, Clock::duration serviceLeft, TimePoint now) const;
    Urgency urgencyOf(const Entry &entry, TimePoint now) const;
    bool isStalled(const Entry &entry, TimePoint now) const;
    bool needsLink(const Entry &entry, TimePoint now) const;
    std::uint64_t bytesAhead(const Urgency &urgency, TimePoint now) const;
    std::uint64_t admittedBytes(bool onTimeOnly, TimePoint now) const;
    bool mayRun(const Entry &entry, bool late, TimePoint now) const;
    bool couldMissDeadline(const Call &call, std::uint64_t bytesAhead, TimePoint now) const;
    bool isTried(const Entry &entry) const;
    Decision reject(ResponseTicket ticket);
    TransferOrder transferOrder(TimePoint now) const;
    bool mayStart(TransferOrder::Rank rank, const TransferOrder &order, TimePoint now) const;

    Options m_options;
    // In the order of their tickets, which decides between calls of the same urgency.
    std::map<ResponseTicket, Entry> m_entries;
    std::size_t m_waiting = 0;
    std::uint64_t m_bufferedBytes = 0;
    // When the link will have sent the parts granted so far.
    TimePoint m_linkFreeAt;
};

}
