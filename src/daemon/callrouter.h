#pragma once

#include "core/calls/loadreport.h"
#include "core/calls/offerorder.h"
#include "core/calls/retrybudget.h"
#include "core/calls/targetpicker.h"
#include "daemon/ingresscall.h"

#include <functional>
#include <unordered_map>
#include <vector>

namespace Galenahill {

// Decides for an ingress where a call goes next, and whether it goes on after
// an attempt.
class CallRouter
{
public:
    struct Options
    {
        NodeName node;
        DataCentre dataCentre;
        std::uint64_t seed = 1;
        CallPolicy policy;
        // Repeats of what may have run, for each service.
        RetryBudget::Options retries;
        // The services that runs of the route call. May be null.
        std::function<const std::vector<ServiceName> &(const RouteName &route)> calledBy;
    };

    explicit CallRouter(Options options);

    // Bounds the repeats for each service from now on.
    void setRetryBudget(RetryBudget::Options options);

    // This node is about to stop: no running attempt is given up any more.
    void stop();

    // The call came. It earns its service a part of a repeat, or is one itself.
    void callMade(const IngressCall &call);

    // The sidecar to ask next; none if the call has been offered enough.
    Choice choose(IngressCall &call);

    // How long the call may still wait for a slot; nothing: as long as it can be in
    // time.
    std::optional<Milliseconds> waitLeft(const IngressCall &call) const;

    // Whether the call may be sent again though it may have run.
    bool mayRepeat(const IngressCall &call) const;

    // An attempt of the call ended so.
    void attemptEnded(IngressCall &call, AttemptEnd end);

    // No further attempt follows.
    void callEnded(IngressCall &call);

    // Whether the call goes on to another sidecar after an attempt that ended
    // so; takes a repeat out of the budget if that is one.
    bool mayRetry(IngressCall &call, AttemptEnd end);

    // Whether the call could be repeated now at a target with room.
    bool canRepeatElsewhere(const IngressCall &call);

    // An attempt at the target began, ended, or told what it knows.
    void begin(const IngressCall &call, const NodeName &target);
    void end(const IngressCall &call, const NodeName &target);
    void updateExpectedWait(const IngressCall &call, const NodeName &target, Milliseconds wait);
    void loadObserved(const NodeName &target, TargetLoad load, Milliseconds wait, TimePoint observed);
    void poolObserved(const PoolReport &pool, TimePoint observed);
    void learn(const IngressCall &call, const NodeName &target, AttemptEnd end, const Result<HttpResponse> &response);

private:
    RetryBudget &budgetOf(const ServiceName &service);
    bool calledCanBear(const IngressCall &call);
    Choice chooseToRepeat(IngressCall &call);
    Choice chooseOnTrial(IngressCall &call);
    const MemberRecord *ownTarget(const IngressCall &call) const;
    TargetPicker &pickerFor(const IngressCall &call);

    Options m_options;
    // What is known of the targets for small calls, and for those with large
    // bodies: these wait for the targets' links as well.
    TargetPicker m_picker;
    TargetPicker m_largePicker;
    std::unordered_map<ServiceName, RetryBudget> m_retries;
    bool m_stopping = false;
};

}
