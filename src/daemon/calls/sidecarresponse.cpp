#include "daemon/calls/pacedbody.h"
#include "daemon/calls/sidecar_p.h"

#include "core/calls/callheaders.h"

#include <algorithm>

namespace Galenahill {

namespace {

// Bodies up to this length are sent at once, as those of other routes are.
constexpr std::size_t SmallBodyBytes = 16 * 1024;

}

void Sidecar::Private::rejectWaiting()
{
    slots->rejectWaiting();
    bodyReceiver.rejectWaiting();
    responseSender->rejectWaiting();
}

bool Sidecar::Private::usesOutboundLink(const SlotCall &call, const ServerConnection &connection) const
{
    return responseSender->enabled() && connection.usesLink() && largeResponseRoutes.count(call.route) > 0;
}

// Returns the rejection, or nothing once the call may take a slot.
asio::awaitable<std::optional<HttpResponse>> Sidecar::Private::waitForLink(SlotCall &call, ServerConnection &connection)
{
    const auto offeredAt = call.arrived;
    const bool admitted = co_await responseSender->admit(call, connection);
    if (!admitted) {
        // A call that may not wait is offered elsewhere next; its rejection is not logged twice.
        if (call.terms.mayWait) {
            logRejection(call, "the response cannot be complete in time");
        }
        auto response = reject("the outbound link of the target's VM is in use");
        reportLinkWait(response);
        co_return response;
    }
    if (options.stageEnded) {
        options.stageEnded(CallStage::Link, std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - offeredAt));
    }
    co_return std::nullopt;
}

// A call of this kind waits for the link or for a slot, whichever is later.
void Sidecar::Private::reportLinkWait(HttpResponse &response) const
{
    const auto slotWait = std::chrono::duration_cast<Milliseconds>(slots->expectedWait());
    response.set(CallHeaders::WaitMs, std::to_string(std::max(slotWait, responseSender->backlogTime()).count()));
}

// Reads the body into the bounded memory, and releases the slot before the response waits for the link.
// Without memory, the body stays at the target and the call keeps its slot.
asio::awaitable<HttpResponse> Sidecar::Private::sendLarge(
    HttpResponse response, std::unique_ptr<BodySource> rest, const SlotCall &call, AdmissionController::ReleaseReason reason, ServerConnection &connection)
{
    if (!rest && response.body().size() <= SmallBodyBytes) {
        responseSender->produced(call, response.body().size());
        slots->release(call, reason);
        reportLoad(response);
        reportLinkWait(response);
        co_return response;
    }
    PacedBody body(responseSender, call.responseTicket, std::exchange(response.body(), {}), std::move(rest), connection);
    const auto error = co_await body.buffer();
    if (error) {
        slots->release(call, AdmissionController::ReleaseReason::ConnectionLost);
        auto unknown = outcomeUnknownResponse("the target's response was cut off: " + error.message(), http::status::bad_gateway);
        reportLoad(unknown);
        co_return unknown;
    }
    responseSender->produced(call, body.length().value_or(body.bufferedBytes()));
    const bool holdsSlot = !body.buffered();
    if (!holdsSlot) {
        slots->release(call, reason);
    }
    reportLoad(response);
    reportLinkWait(response);
    auto replacement = co_await responseSender->send(call, std::move(response), body, connection);
    if (holdsSlot) {
        slots->release(call, reason);
    }
    co_return replacement ? std::move(*replacement) : HttpResponse();
}

}
