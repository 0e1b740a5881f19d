#pragma once

#include "core/calls/callslack.h"
#include "core/calls/loadreport.h"
#include "core/calls/offerorder.h"
#include "core/calls/retrybudget.h"
#include "core/calls/stopadmission.h"
#include "core/calls/targetpicker.h"
#include "core/quarantine/quarantine.h"
#include "daemon/calls/ingresscall.h"

#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

namespace Galenahill {

// Selects the sidecars that an ingress offers a call to, and decides whether a call gets another
// attempt.
class CallRouter
{
public:
    struct Options
    {
        NodeName node;
        DataCentre dataCentre;
        std::uint64_t seed = 1;
        CallPolicy policy;
        // Budget of each service for retries of calls that may have run.
        RetryBudget::Options retryBudget;
        // Returns the services that calls of the route make nested calls to. May be null.
        std::function<const std::vector<ServiceName> &(const RouteName &route)> calledServices;
        // Requests under which targets ended. May be null.
        const Quarantine *quarantine = nullptr;
    };

    explicit CallRouter(Options options);

    // Changes the retry budget of each service.
    void setRetryBudget(RetryBudget::Options options);

    // The use of the retry budget by service.
    std::map<ServiceName, RetryBudget::Counts> retryCounts() const;

    // Prepares for the node's shutdown, which ends all calls at that time: no further replacements are offered for slow attempts,
    // and calls that would be cut off aren't sent to targets.
    void prepareToStop(TimePoint callsEnd);

    // Records the start of a call. It adds to its service's retry budget, or draws on it if its parent
    // call is a retry.
    void callStarted(const IngressCall &call);

    // Returns the sidecar to offer the call to next, with a null target if there is none left.
    Offer choose(IngressCall &call);

    // Records the service time of a call that a target answered, without its wait for a slot.
    void recordServiceTime(const IngressCall &call, std::chrono::microseconds time);

    // Returns how long the call may wait for slots at all sidecars together, and the service time from
    // which that follows; empty if only its objective and deadline limit the wait.
    std::optional<CallSlack::WaitBound> waitBound(const IngressCall &call) const;

    // Whether a call whose caller waited before is expected to be answered within its objective, counted
    // from the first attempt.
    bool canMeetObjective(const IngressCall &call) const;

    // Returns how long the call may still wait for a slot. If empty, only its objective and deadline
    // limit the wait.
    std::optional<Milliseconds> waitLeft(const IngressCall &call) const;

    // Whether no target may get the call, since targets have ended under its content.
    bool isQuarantined(const IngressCall &call) const;

    // Whether the call may be sent again even if an earlier attempt may have run it.
    bool isRetryable(const IngressCall &call) const;

    // Records the result of an attempt of the call.
    void attemptEnded(IngressCall &call, AttemptResult result);

    // Records that no further attempt follows.
    void callEnded(IngressCall &call);

    // Whether the call gets another attempt after one with this result. Takes the retry from the
    // budget if it counts as one.
    bool mayRetry(IngressCall &call, AttemptResult result);

    // Returns the sidecar to offer a replacement for the running attempt to; null if none may have a free
    // slot, or no retry is allowed. Takes the retry from the budget.
    const MemberRecord *chooseReplacement(IngressCall &call);

    // Records that the replacement was rejected, which returns the retry to the budget.
    void replacementRejected(const IngressCall &call);

    // Records the attempt, at the target, whose result is not the one of the call.
    void otherAttemptEnded(IngressCall &call, AttemptResult result, const NodeName &target);

    // Expected wait for a slot at the targets of the call's service; empty if unknown.
    std::optional<Milliseconds> backlog(const IngressCall &call);

    // Time within which the caller of a rejected call has to return to be answered within its objective,
    // counted from the first attempt; zero if it cannot be or there is none.
    Milliseconds returnWithin(const IngressCall &call, TimePoint now) const;

    // The shortest wait for a slot if the call cannot be answered before its caller leaves, at any target;
    // empty if it can or if that is not known of each target.
    std::optional<Milliseconds> waitBeyondDeadline(const IngressCall &call);

    // Record the start and the end of an attempt at the target, and load reports of the target.
    void addInFlight(const IngressCall &call, const NodeName &target);
    void removeInFlight(const IngressCall &call, const NodeName &target);
    void updateExpectedWait(const IngressCall &call, const NodeName &target, Milliseconds wait);
    void updateTargetLoad(const NodeName &target, TargetLoad load, Milliseconds wait, TimePoint observed);
    void updatePoolLoad(const PoolReport &pool, TimePoint observed);
    void recordResult(const IngressCall &call, const NodeName &target, AttemptResult result, const Result<HttpResponse> &response);

private:
    RetryBudget &budgetOf(const ServiceName &service);
    bool hasRetryToken(const IngressCall &call, const ServiceName &service);
    bool nestedCallsHaveBudget(const IngressCall &call);
    bool isSuspect(const IngressCall &call) const;
    bool outlastsStop(const IngressCall &call) const;
    bool mayRetryAfterEnd(const IngressCall &call) const;
    Offer chooseForSuspect(IngressCall &call) const;
    Offer chooseForRetry(IngressCall &call);
    Offer chooseCanary(IngressCall &call);
    const MemberRecord *localTarget(const IngressCall &call) const;
    TargetPicker &pickerFor(const IngressCall &call);

    Options m_options;
    // State of the targets as calls with small and calls with large bodies or responses see it. The
    // latter also wait for the link of the target's VM.
    TargetPicker m_picker;
    TargetPicker m_largePicker;
    CallSlack m_slack{{}};
    StopAdmission m_stopAdmission{{}};
    std::unordered_map<ServiceName, RetryBudget> m_retryBudgets;
    bool m_stopping = false;
};

}
