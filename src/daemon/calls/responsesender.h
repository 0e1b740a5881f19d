#pragma once

#include "adapters/http/serverconnection.h"
#include "core/calls/linkshare.h"
#include "core/calls/responseschedule.h"
#include "core/calls/responsesizes.h"
#include "core/calls/servicetimes.h"
#include "daemon/calls/slotqueue.h"
#include "ports/logger.h"

#include <memory>
#include <unordered_map>

namespace Galenahill {

class PacedBody;

// Carries out the schedule of large responses on the VM's outbound link: calls wait here before they
// take a slot of the target, and produced responses wait for each part that they send. Used on the data
// thread only.
class ResponseSender : public std::enable_shared_from_this<ResponseSender>
{
public:
    struct Options
    {
        asio::io_context &context;
        ResponseSchedule::Options schedule;
        Logger log;
        // Bytes that the node has sent on its link, large responses included. If empty, their share of the
        // link stays that of `schedule`.
        std::function<std::uint64_t()> sentBytes;
    };

    // Number of calls by decision, for metrics.
    struct Counts
    {
        std::uint64_t admitted = 0;
        std::uint64_t waited = 0;
        std::uint64_t rejected = 0;
        // Produced responses whose deadline passed before they got the link.
        std::uint64_t dropped = 0;
        // Responses whose deadline passed while they were being sent.
        std::uint64_t interrupted = 0;
    };

    explicit ResponseSender(Options options);

    // Whether the speed of the link is known; otherwise nothing is scheduled.
    bool enabled() const;

    // Waits until the call may take a slot. Then sets its ticket, and the time by which the target has to
    // respond as its objective. Returns false if the response could not be complete in time, or the
    // caller has left.
    asio::awaitable<bool> admit(SlotCall &call, ServerConnection &connection);

    // The target has responded to the call; the body has that length.
    void produced(const SlotCall &call, std::uint64_t bytes);

    // Records the size of a response that is sent without the schedule, since it does not use the link.
    void recordSize(const RouteName &route, std::uint64_t bytes);

    // Sends the response. Returns the response to send instead if the deadline passes before the
    // first part.
    asio::awaitable<std::optional<HttpResponse>> send(const SlotCall &call, HttpResponse response, PacedBody &body, ServerConnection &connection);

    // Ends the call, and returns the memory of its response. A call without a ticket is ignored.
    void end(const SlotCall &call);

    // Rejects the calls that wait to be admitted.
    void rejectWaiting();

    // Used by the bodies of responses: take memory, and wait for the next part to send of the bytes that
    // are left. The length of the part is zero if the transfer is to end.
    bool takeMemory(ResponseTicket ticket, std::uint64_t bytes);
    asio::awaitable<std::uint64_t> waitForPart(ResponseTicket ticket, std::uint64_t bytesLeft, ServerConnection &connection);

    // Time that the link takes for all responses that wait for it.
    Milliseconds backlogTime() const;

    const Counts &counts() const;
    const ResponseSchedule &schedule() const;

private:
    struct Pending;

    ResponseSchedule::Call describe(const SlotCall &call, TimePoint now);
    void setAdmitted(SlotCall &call, const ResponseSchedule::Call &described, Pending &pending);
    asio::awaitable<void> wait(const std::shared_ptr<Pending> &pending, ServerConnection &connection);
    static void wake(Pending &pending, std::uint64_t granted);
    void process();
    void armTimer(TimePoint now);
    void updateShare(TimePoint now);
    void logEarlyEnd(const SlotCall &call, const PacedBody &body, const StreamResult &result, bool readerLeft) const;
    void logDecision(const char *decision, const SlotCall &call, TimePoint expectedCompletion, TimePoint now) const;

    Options m_options;
    ResponseSchedule m_schedule;
    LinkShare m_share;
    std::uint64_t m_grantedBytes = 0;
    ResponseSizes m_sizes;
    // Times from the admission of a call to its response.
    ServiceTimes m_times;
    std::unordered_map<ResponseTicket, std::shared_ptr<Pending>> m_pending;
    asio::steady_timer m_timer;
    std::uint64_t m_nextTicket = 1;
    Counts m_counts;
};

}
