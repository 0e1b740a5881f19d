#include "daemon/calls/sidecar_p.h"

#include "adapters/http/sleep.h"
#include "core/calls/callheaders.h"
#include "core/quarantine/suspecttarget.h"

namespace Galenahill {

namespace {

constexpr Milliseconds SuspectCheckInterval{5};

}

bool Sidecar::Private::isSuspect(const SlotCall &call) const
{
    return options.quarantine != nullptr && call.terms.digest
        && options.quarantine->table().standing(*call.terms.digest, Clock::now()) != RequestStanding::Clear;
}

// Why the target doesn't get the call: too many targets have ended under its content, or it may run at another target only.
std::optional<std::string> Sidecar::Private::quarantineReason(const SlotCall &call) const
{
    if (!isSuspect(call)) {
        return std::nullopt;
    }
    const auto &table = options.quarantine->table();
    const auto now = Clock::now();
    if (table.standing(*call.terms.digest, now) == RequestStanding::Quarantined) {
        return "quarantined: targets have ended while they executed requests with this content";
    }
    const auto *target = view ? targetForSuspect(*call.terms.digest, view->targetsOf(options.service), table.endedNodes(*call.terms.digest, now)) : nullptr;
    if (target != nullptr && target->name != options.quarantine->node()) {
        return "a target has ended under the request, which may run at another target";
    }
    return std::nullopt;
}

HttpResponse Sidecar::Private::rejectForQuarantine(const SlotCall &call, const std::string &reason) const
{
    logRejection(call, reason);
    auto response = reject(reason);
    reportTargetEnds(response, call);
    return response;
}

// Suspects run one at a time, so that the next end tells which of them it was. Returns the rejection, or nothing once the call
// may run.
asio::awaitable<std::optional<HttpResponse>> Sidecar::Private::waitForSuspects(SlotCall &call, ServerConnection &connection)
{
    const auto until = call.terms.waitLeft ? std::min(call.deadline, call.arrived + *call.terms.waitLeft) : call.deadline;
    while (suspectRunning && Clock::now() < until && !connection.cancellation().cancelled()) {
        co_await sleepFor(options.context, SuspectCheckInterval);
    }
    if (suspectRunning) {
        co_return rejectForQuarantine(call, "another request under which a target has ended is running");
    }
    if (const auto reason = quarantineReason(call)) {
        co_return rejectForQuarantine(call, *reason);
    }
    suspectRunning = true;
    call.runsAsSuspect = true;
    co_return std::nullopt;
}

}
