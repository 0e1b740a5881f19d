#include "daemon/calls/ingress_p.h"

#include "daemon/calls/callmessages.h"
#include "daemon/calls/customerlimits.h"

#include <algorithm>
#include <fmt/format.h>

namespace Galenahill {

namespace {

// Callers honour a retry time of at most a third of the time that they have left.
constexpr int RetryAfterFraction = 3;

}

// Whether the call is rejected before it is offered to any sidecar: it cannot be answered in time, or for the
// sake of other calls.
bool Ingress::Private::isShed(IngressCall &call)
{
    if (const auto wait = router.waitBeyondDeadline(call)) {
        ++callsWithoutTime;
        call.reason = fmt::format("cannot be answered in its {} ms: the shortest known wait for a slot is {} ms",
            std::chrono::duration_cast<Milliseconds>(call.callerDeadline - call.begin).count(),
            wait->count());
        return true;
    }
    if (guard.shouldShed(*call.route, call.begin)) {
        ++shedCalls;
        call.reason = fmt::format("shed: a share of {:.2f} of the higher-priority calls to the services that this route calls is being rejected",
            guard.higherPriorityRejectionRatio(*call.route, call.begin));
        return true;
    }
    return false;
}

// The customer's limit comes first: a call over it takes no capacity from others while it waits.
asio::awaitable<HttpResponse> Ingress::Private::admit(IngressCall &call)
{
    if (router.isQuarantined(call)) {
        co_return quarantineRejection(call);
    }
    const auto *customer = call.customerDefinition;
    if (!options.acquireToken || customer == nullptr || !customer->limit.limited() || call.hasRunningParent) {
        co_return co_await admitWithinLimit(call);
    }
    const auto decision = co_await options.acquireToken(customer->name);
    if (decision.status == TokenDecision::Status::Denied) {
        co_return overLimit(call, decision);
    }
    auto response = co_await admitWithinLimit(call);
    if (callResultOf(response) == CallResult::NotRun) {
        options.releaseToken(customer->name, decision);
    }
    co_return response;
}

HttpResponse Ingress::Private::overLimit(IngressCall &call, const TokenDecision &denied) const
{
    call.reason = denialText(call.customerDefinition->name, denied);
    const auto left = std::chrono::duration_cast<Milliseconds>(call.callerDeadline - Clock::now());
    const auto retryAfter = std::clamp(denied.retryAfter, Milliseconds(1), std::max(Milliseconds(1), left / RetryAfterFraction));
    return notRunResponse(http::status::too_many_requests, "over-limit", call.reason, retryAfter);
}

asio::awaitable<HttpResponse> Ingress::Private::admitWithinLimit(IngressCall &call)
{
    if (!routeLimiter.tryAcquire(call.route->name)) {
        co_return notRunResponse(http::status::service_unavailable,
            "refused",
            fmt::format("this node has reached its limit of concurrent calls, for route {} or in total", call.route->name.value()));
    }
    // A nested call is never shed here: the work of its parent call would be lost.
    if (!call.hasRunningParent && isShed(call)) {
        routeLimiter.release(call.route->name);
        co_return rejection(call);
    }
    auto response = co_await route(call);
    routeLimiter.release(call.route->name);
    if (!call.hasRunningParent) {
        guard.callEnded(*call.route, call.service, callResultOf(response) == CallResult::NotRun && call.attemptsSent == 0, Clock::now());
    }
    co_return response;
}

}
