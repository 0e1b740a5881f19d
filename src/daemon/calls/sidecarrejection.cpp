#include "daemon/calls/sidecar_p.h"

#include "core/calls/callheaders.h"

namespace Galenahill {

HttpResponse Sidecar::Private::reject(const std::string &reason) const
{
    auto response = notRunResponse(http::status::service_unavailable, "refused", reason);
    reportLoad(response);
    return response;
}

void Sidecar::Private::logRejection(const SlotCall &call, const std::string &reason) const
{
    const auto now = Clock::now();
    options.log(LogLevel::Info,
        "sidecar-refused",
        {{"id", call.id},
            {"route", call.route.value()},
            {"reason", reason},
            {"state", toString(state)},
            {"running", slots->running()},
            {"slots", slots->limit()},
            {"reserved", slots->reservedSlots()},
            {"withheld", slots->withheldSlots()},
            {"waiting", slots->waiting()},
            {"may_wait", call.terms.mayWait},
            {"for_running_call", call.terms.hasRunningParent},
            {"waited_ms", std::chrono::duration_cast<Milliseconds>(now - call.arrived).count()},
            {"wait_left_ms", call.terms.waitLeft ? call.terms.waitLeft->count() : -1},
            {"waited_before_ms", call.terms.waitedBefore.count()},
            {"expected_wait_ms", std::chrono::duration_cast<Milliseconds>(slots->expectedWait(call)).count()},
            {"left_ms", std::chrono::duration_cast<Milliseconds>(call.deadline - now).count()},
            {"rate_limit", loggedRate(slots->rateLimiter().limit())},
            {"rate_limit_age_ms", slots->rateLimiter().age(now).count()},
            {"customer", call.customer ? call.customer->name.value() : std::string()},
            {"above_share_ms", std::chrono::duration_cast<Milliseconds>(slots->excessOf(call)).count()}});
}

HttpResponse Sidecar::Private::rejectFull(const SlotCall &call)
{
    const bool rateLimited = slots->isRateLimited();
    rateLimitedCalls += rateLimited ? 1 : 0;
    // An offer that may not wait only asks for a free slot; its rejection is not logged.
    if (call.terms.mayWait || rateLimited) {
        logRejection(call, rateLimited ? "the target's rate limit is used up" : "no slot in time");
    }
    auto response = reject(rateLimited ? "the target's rate limit is used up" : "all slots of the target are in use");
    response.set(CallHeaders::WaitMs, std::to_string(std::chrono::duration_cast<Milliseconds>(slots->costOf(call)).count()));
    return response;
}

HttpResponse Sidecar::Private::rejectBody(const SlotCall &call, TimePoint arrival) const
{
    if (call.terms.mayWait) {
        logRejection(call, "the request body cannot arrive in time");
    }
    auto response = reject("the inbound link or all slots of the target are in use");
    const auto wait = std::chrono::duration_cast<Milliseconds>(arrival - Clock::now());
    const auto cost = std::chrono::duration_cast<Milliseconds>(slots->costOf(call));
    response.set(CallHeaders::WaitMs, std::to_string((wait + cost).count()));
    return response;
}

}
