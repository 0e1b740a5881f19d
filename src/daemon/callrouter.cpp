#include "daemon/callrouter.h"

#include "core/config/configlimits.h"

#include <algorithm>
#include <utility>

namespace Galenahill {

namespace {

// Share of its objective that a call waits for slots at most, at all sidecars
// together. Bounds queueing delay: a longer queue adds latency without adding
// throughput.
constexpr double MaxWaitShare = 0.15;

// Longer wait that a call with a large body takes rather than cross to another data
// centre.
constexpr Milliseconds LargeCrossing{120};

// Sidecars of a version under test that are offered a call.
constexpr std::size_t MaxTrialOffers = 2;

// Sidecars that are offered a repeat.
constexpr std::uint32_t MaxRepeatOffers = 2;

}

CallRouter::CallRouter(Options options)
    : m_options(std::move(options))
    , m_picker({.dataCentre = m_options.dataCentre, .seed = m_options.seed, .policy = m_options.policy})
    , m_largePicker({.dataCentre = m_options.dataCentre, .seed = m_options.seed, .policy = m_options.policy, .crossing = LargeCrossing})
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

// A repeated run makes its calls again, and they count as repeats where they go. While
// those services can't bear any, the repeat would take from the calls that are tried
// there for the first time.
bool CallRouter::calledCanBear(const IngressCall &call)
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

// Only one node in a tree of calls repeats what may have run: with seven
// layers that each try three times, one failure would become two thousand
// calls. What certainly didn't run is retried by the layer that was refused.
bool CallRouter::mayRepeat(const IngressCall &call) const
{
    return call.route->idempotent() && !call.retriedAbove && call.uncertain < std::min(call.route->retries, ConfigLimits::MaxRetries);
}

// Whether the call goes on to another sidecar. A sidecar's refusal costs the
// targets nothing, so only sends to a target draw on the budget.
bool CallRouter::mayRetry(IngressCall &call, AttemptEnd end)
{
    // Nobody waits for the answer, or a part of the body is gone for good.
    const auto *body = call.connection.requestBody();
    if (call.connection.cancellation().cancelled() || (body != nullptr && body->taken())) {
        return false;
    }
    if (Clock::now() >= call.deadline) {
        return false;
    }
    if (!isSent(end)) {
        return true;
    }
    if (call.sent >= call.route->maxTargets) {
        return false;
    }
    if (mayHaveRun(end)) {
        // Only here could a call run twice: what may have run is repeated
        // only if the route says that repeating does no harm.
        if (!mayRepeat(call) || !calledCanBear(call)) {
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

void CallRouter::attemptEnded(IngressCall &call, AttemptEnd end)
{
    if (isSent(end)) {
        ++call.sent;
        call.holdsRepeat = false;
        // Whatever follows doesn't go to the version under test.
        call.trial = nullptr;
    }
}

// A repeat that found no room cost the targets nothing, and another call can
// have it.
void CallRouter::callEnded(IngressCall &call)
{
    if (std::exchange(call.holdsRepeat, false)) {
        budgetOf(call.service).giveBack();
    }
}

Choice CallRouter::choose(IngressCall &call)
{
    if (call.uncertain > 0) {
        return chooseToRepeat(call);
    }
    if (call.trial != nullptr) {
        if (const auto choice = chooseOnTrial(call); choice.target != nullptr) {
            return choice;
        }
        call.trial = nullptr;
        call.offers = {};
    }
    return nextOffer(pickerFor(call),
        call.view->targetsOf(call.service),
        call.offers,
        {.dataCentre = m_options.dataCentre, .first = ownTarget(call), .crossesUnasked = !call.large},
        Clock::now());
}

// A version under test takes what it has room for, and its calls wait for nothing.
Choice CallRouter::chooseOnTrial(IngressCall &call)
{
    auto &asked = call.offers.asked;
    if (asked.size() >= MaxTrialOffers) {
        return {};
    }
    const auto *target = pickerFor(call).selectForQueueing(call.trial->targets, asked, Clock::now());
    if (target != nullptr) {
        asked.push_back(target->name);
    }
    return {target, false};
}

// The target on this VM: a large body needs no link to it.
const MemberRecord *CallRouter::ownTarget(const IngressCall &call) const
{
    const auto &targets = call.view->targetsOf(call.service);
    const auto own = std::find_if(targets.begin(), targets.end(), [this](const auto &target) { return target.name == m_options.node; });
    return call.large && own != targets.end() ? &*own : nullptr;
}

// A running call needs the answer, late or not, or all its work is lost.
std::optional<Milliseconds> CallRouter::waitLeft(const IngressCall &call) const
{
    const auto objective = call.route->sloLatency;
    if (call.forRunningCall || objective.count() == 0) {
        return std::nullopt;
    }
    const auto until = call.begin + std::chrono::duration_cast<Milliseconds>(objective * MaxWaitShare);
    return std::max(std::chrono::duration_cast<Milliseconds>(until - Clock::now()), Milliseconds(0));
}

// A repeat goes only where there is room: under overload it would take the
// slot of a call that hasn't been tried yet. It doesn't go back to the target
// that failed it.
Choice CallRouter::chooseToRepeat(IngressCall &call)
{
    if (call.repeatsOffered >= MaxRepeatOffers) {
        return {};
    }
    const auto *target = pickerFor(call).pick(call.view->targetsOf(call.service), call.notToRepeatAt, Clock::now(), true);
    if (target != nullptr) {
        ++call.repeatsOffered;
        call.notToRepeatAt.push_back(target->name);
    }
    return {target, false};
}

// A stopping node leaves running attempts alone: it would have no time left to
// make good for a repeat that fails.
bool CallRouter::canRepeatElsewhere(const IngressCall &call)
{
    const auto *body = call.connection.requestBody();
    const bool bodyGone = body != nullptr && body->taken();
    if (m_stopping || bodyGone || call.sent + 1 >= call.route->maxTargets || call.repeatsOffered >= MaxRepeatOffers) {
        return false;
    }
    if (!budgetOf(call.service).hasOne() || !calledCanBear(call)) {
        return false;
    }
    auto passedOver = call.notToRepeatAt;
    passedOver.push_back(call.lastTarget);
    return pickerFor(call).roomElsewhere(call.view->targetsOf(call.service), passedOver, Clock::now());
}

void CallRouter::learn(const IngressCall &call, const NodeName &target, AttemptEnd end, const Result<HttpResponse> &response)
{
    const auto now = Clock::now();
    auto &picker = pickerFor(call);
    const auto load = response ? loadHeader(*response) : std::nullopt;
    if (load) {
        picker.reported(target, *load, now);
    }
    switch (end) {
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
        // Back-off after a refusal that carried no load report.
        if (!load) {
            picker.backOff(target, now);
        }
        break;
    }
}

}
