#include "daemon/callrouter.h"

#include "core/config/configlimits.h"

#include <algorithm>
#include <utility>

namespace Galenahill {

namespace {

// Largest share of its latency objective that a call spends waiting for slots, at all sidecars
// together. Bounds the queueing delay: a longer queue adds latency without adding throughput.
constexpr double MaxWaitShare = 0.15;

// Additional wait in the local data centre that is preferred to sending a large body to a remote one.
constexpr Milliseconds LargeBodyCrossing{120};

// Largest number of sidecars of a canary version that a call is offered to.
constexpr std::size_t MaxCanaryOffers = 2;

// Largest number of sidecars that the retries of a call are offered to.
constexpr std::uint32_t MaxRetryOffers = 2;

}

CallRouter::CallRouter(Options options)
    : m_options(std::move(options))
    , m_picker({.dataCentre = m_options.dataCentre, .seed = m_options.seed, .policy = m_options.policy})
    , m_largePicker({.dataCentre = m_options.dataCentre, .seed = m_options.seed, .policy = m_options.policy, .crossing = LargeBodyCrossing})
{
}

void CallRouter::setRetryBudget(RetryBudget::Options options)
{
    m_options.retries = options;
    for (auto &[service, budget] : m_retries) {
        budget.setOptions(options);
    }
}

void CallRouter::stop()
{
    m_stopping = true;
}

void CallRouter::callMade(const IngressCall &call)
{
    auto &budget = budgetOf(call.service);
    call.ofRepeat ? budget.spend() : budget.callMade();
}

// A retried call makes its nested calls again, and these count as retries at the services that they
// go to. If those services have no retry budget left, the retry would take capacity from calls that
// are tried there for the first time.
bool CallRouter::nestedCallsHaveBudget(const IngressCall &call)
{
    if (!m_options.calledBy) {
        return true;
    }
    const auto &services = m_options.calledBy(call.route->name);
    return std::all_of(services.begin(), services.end(), [this](const ServiceName &service) { return budgetOf(service).hasOne(); });
}

TargetPicker &CallRouter::pickerFor(const IngressCall &call)
{
    return call.large ? m_largePicker : m_picker;
}

void CallRouter::begin(const IngressCall &call, const NodeName &target)
{
    pickerFor(call).begin(target, Clock::now());
}

void CallRouter::end(const IngressCall &call, const NodeName &target)
{
    pickerFor(call).end(target);
}

void CallRouter::updateExpectedWait(const IngressCall &call, const NodeName &target, Milliseconds wait)
{
    pickerFor(call).updateExpectedWait(target, wait, Clock::now());
}

void CallRouter::loadObserved(const NodeName &target, TargetLoad load, Milliseconds wait, TimePoint observed)
{
    m_picker.loadObserved(target, load, wait, observed);
}

void CallRouter::poolObserved(const PoolReport &pool, TimePoint observed)
{
    m_picker.poolObserved(pool.dataCentre, pool.service, {pool.calls, pool.limit}, Milliseconds(pool.waitMs), observed);
}

RetryBudget &CallRouter::budgetOf(const ServiceName &service)
{
    return m_retries.try_emplace(service, m_options.retries).first->second;
}

// Only one node in a call tree retries calls that may have run: with seven layers that each try
// three times, one failure would become two thousand calls. A call that certainly did not run is
// retried by the layer whose call was rejected.
bool CallRouter::mayRepeat(const IngressCall &call) const
{
    return call.route->idempotent() && !call.retriedAbove && call.uncertain < std::min(call.route->retries, ConfigLimits::MaxRetries);
}

// A rejection by a sidecar costs the targets nothing, so only attempts that reached a target draw on
// the budget.
bool CallRouter::mayRetry(IngressCall &call, AttemptEnd outcome)
{
    // Either nobody waits for the response, or a part of the streamed body has been consumed and
    // cannot be sent again.
    const auto *body = call.connection.requestBody();
    if (call.connection.cancellation().cancelled() || (body != nullptr && body->taken())) {
        return false;
    }
    if (Clock::now() >= call.deadline) {
        return false;
    }
    if (!isSent(outcome)) {
        return true;
    }
    if (call.sent >= call.route->maxTargets) {
        return false;
    }
    if (mayHaveRun(outcome)) {
        // The only place where a call could run twice: a call that may have run is retried only if
        // its route is idempotent.
        if (!mayRepeat(call) || !nestedCallsHaveBudget(call)) {
            return false;
        }
        ++call.uncertain;
        call.notToRepeatAt.push_back(call.lastTarget);
    }
    if (m_options.policy.retryBudget && !budgetOf(call.service).tryTake()) {
        return false;
    }
    call.holdsRepeat = m_options.policy.retryBudget;
    return true;
}

void CallRouter::attemptEnded(IngressCall &call, AttemptEnd outcome)
{
    if (isSent(outcome)) {
        ++call.sent;
        call.holdsRepeat = false;
        // Further attempts do not go to the canary version.
        call.trial = nullptr;
    }
}

// A retry that found no free slot cost the targets nothing, so it is returned to the budget for
// another call.
void CallRouter::callEnded(IngressCall &call)
{
    if (std::exchange(call.holdsRepeat, false)) {
        budgetOf(call.service).giveBack();
    }
}

Choice CallRouter::choose(IngressCall &call)
{
    if (call.uncertain > 0) {
        return chooseForRetry(call);
    }
    if (call.trial != nullptr) {
        if (const auto choice = chooseCanary(call); choice.target != nullptr) {
            return choice;
        }
        call.trial = nullptr;
        call.offers = {};
    }
    return nextOffer(pickerFor(call),
        call.view->targetsOf(call.service),
        call.offers,
        {.dataCentre = m_options.dataCentre, .first = localTarget(call), .crossesUnasked = !call.large},
        Clock::now());
}

// Calls do not wait for a slot of the canary version: without a free slot they go to the other
// targets.
Choice CallRouter::chooseCanary(IngressCall &call)
{
    auto &asked = call.offers.asked;
    if (asked.size() >= MaxCanaryOffers) {
        return {};
    }
    const auto *target = pickerFor(call).selectForQueueing(call.trial->targets, asked, Clock::now());
    if (target != nullptr) {
        asked.push_back(target->name);
    }
    return {target, false};
}

// The local target for a call with a large body, which then needs no network link; null for other
// calls, or if there is none.
const MemberRecord *CallRouter::localTarget(const IngressCall &call) const
{
    const auto &targets = call.view->targetsOf(call.service);
    const auto local = std::find_if(targets.begin(), targets.end(), [this](const auto &target) { return target.name == m_options.node; });
    return call.large && local != targets.end() ? &*local : nullptr;
}

// A nested call has no limit: without its response, even a late one, the work of its parent call is
// lost.
std::optional<Milliseconds> CallRouter::waitLeft(const IngressCall &call) const
{
    const auto objective = call.route->sloLatency;
    if (call.forRunningCall || objective.count() == 0) {
        return std::nullopt;
    }
    const auto until = call.begin + std::chrono::duration_cast<Milliseconds>(objective * MaxWaitShare);
    return std::max(std::chrono::duration_cast<Milliseconds>(until - Clock::now()), Milliseconds(0));
}

// A retry goes only to a target with a free slot: under overload it would take the slot of a call
// that has not been tried yet. It does not go back to the target that failed it.
Choice CallRouter::chooseForRetry(IngressCall &call)
{
    if (call.repeatsOffered >= MaxRetryOffers) {
        return {};
    }
    const auto *target = pickerFor(call).pick(call.view->targetsOf(call.service), call.notToRepeatAt, Clock::now(), true);
    if (target != nullptr) {
        ++call.repeatsOffered;
        call.notToRepeatAt.push_back(target->name);
    }
    return {target, false};
}

// A node that is stopping does not cancel running attempts: if the retry failed, there would be no
// time left for another one.
bool CallRouter::canRepeatElsewhere(const IngressCall &call)
{
    const auto *body = call.connection.requestBody();
    const bool bodyConsumed = body != nullptr && body->taken();
    if (m_stopping || bodyConsumed || call.sent + 1 >= call.route->maxTargets || call.repeatsOffered >= MaxRetryOffers) {
        return false;
    }
    if (!budgetOf(call.service).hasOne() || !nestedCallsHaveBudget(call)) {
        return false;
    }
    auto excluded = call.notToRepeatAt;
    excluded.push_back(call.lastTarget);
    return pickerFor(call).roomElsewhere(call.view->targetsOf(call.service), excluded, Clock::now());
}

void CallRouter::learn(const IngressCall &call, const NodeName &target, AttemptEnd outcome, const Result<HttpResponse> &response)
{
    const auto now = Clock::now();
    auto &picker = pickerFor(call);
    const auto load = response ? loadHeader(*response) : std::nullopt;
    if (load) {
        picker.reported(target, *load, now);
    }
    switch (outcome) {
    case AttemptEnd::Answered:
        picker.succeeded(call.service, target);
        break;
    case AttemptEnd::Failed:
    case AttemptEnd::NotRunByTarget:
    case AttemptEnd::Shed:
    case AttemptEnd::OutcomeUnknown:
        picker.failed(call.service, target, now);
        break;
    case AttemptEnd::NotRun:
        // A rejection without a load report says nothing of when slots are free, so back off.
        if (!load) {
            picker.backOff(target, now);
        }
        break;
    }
}

}
