#include "daemon/calls/callrouter.h"

#include "core/config/configlimits.h"

#include <algorithm>
#include <utility>

namespace Galenahill {

namespace {

// Additional wait in the local data centre that is preferred to sending a large body to a remote one.
constexpr Milliseconds LargeBodyCrossing{120};

// Largest number of sidecars of a canary version that a call is offered to.
constexpr std::size_t MaxCanaryOffers = 2;

// Largest number of sidecars that the retries of a call are offered to.
constexpr std::uint32_t MaxRetryOffers = 2;

// Largest number of offers to replace the slow attempts of a call. They leave those of its retries.
constexpr std::uint32_t MaxReplacementOffers = 4;

}

CallRouter::CallRouter(Options options)
    : m_options(std::move(options))
    , m_picker({.dataCentre = m_options.dataCentre, .seed = m_options.seed, .policy = m_options.policy})
    , m_largePicker({.dataCentre = m_options.dataCentre, .seed = m_options.seed, .policy = m_options.policy, .remotePenalty = LargeBodyCrossing})
{
}

void CallRouter::setRetryBudget(RetryBudget::Options options)
{
    m_options.retryBudget = options;
    for (auto &[service, budget] : m_retryBudgets) {
        budget.setOptions(options);
    }
}

std::map<ServiceName, RetryBudget::Counts> CallRouter::retryCounts() const
{
    std::map<ServiceName, RetryBudget::Counts> counts;
    for (const auto &[service, budget] : m_retryBudgets) {
        counts.emplace(service, budget.counts());
    }
    return counts;
}

void CallRouter::prepareToStop(TimePoint callsEnd)
{
    m_stopping = true;
    m_stopAdmission.beginStop(callsEnd);
}

void CallRouter::callStarted(const IngressCall &call)
{
    budgetOf(call.service).recordCall(call.origin, Clock::now());
}

// A retried call makes its nested calls again, and these count as retries at the services that they
// go to. If those services have no retry budget left, the retry would take capacity from calls that
// are tried there for the first time.
bool CallRouter::nestedCallsHaveBudget(const IngressCall &call)
{
    if (!m_options.calledServices) {
        return true;
    }
    const auto &services = m_options.calledServices(call.route->name);
    return std::all_of(services.begin(), services.end(), [&](const ServiceName &service) { return hasRetryToken(call, service); });
}

bool CallRouter::hasRetryToken(const IngressCall &call, const ServiceName &service)
{
    return budgetOf(service).hasToken(call.hasRunningParent, Clock::now());
}

std::optional<Milliseconds> CallRouter::backlog(const IngressCall &call)
{
    return pickerFor(call).backlog(call.view->targetsOf(call.service), Clock::now());
}

Milliseconds CallRouter::returnWithin(const IngressCall &call, TimePoint now) const
{
    const auto objective = call.route->sloLatency;
    const auto needed = m_slack.expectedTime(call.route->name, objective);
    const auto left = std::chrono::duration_cast<Milliseconds>(call.begin - call.waitedBefore + objective - needed - now);
    return objective.count() == 0 ? Milliseconds(0) : std::max(left, Milliseconds(0));
}

std::optional<Milliseconds> CallRouter::waitBeyondDeadline(const IngressCall &call)
{
    const auto &targets = call.view->targetsOf(call.service);
    // The wait for a link that is reported includes late responses, which one that is on time overtakes.
    if (call.canary != nullptr || call.hasLargeResponse || targets.empty()) {
        return std::nullopt;
    }
    const auto shortest = pickerFor(call).shortestWait(targets, call.begin);
    const auto serviceTime = m_slack.waitBound(call.route->name, call.route->sloLatency).serviceTime;
    const bool tooLate = shortest && shortest->count() > 0 && call.begin + *shortest + serviceTime >= call.callerDeadline;
    return tooLate ? shortest : std::nullopt;
}

TargetPicker &CallRouter::pickerFor(const IngressCall &call)
{
    return call.hasLargeBody || call.hasLargeResponse ? m_largePicker : m_picker;
}

void CallRouter::addInFlight(const IngressCall &call, const NodeName &target)
{
    pickerFor(call).addInFlight(target, Clock::now());
}

void CallRouter::removeInFlight(const IngressCall &call, const NodeName &target)
{
    pickerFor(call).removeInFlight(target);
}

void CallRouter::updateExpectedWait(const IngressCall &call, const NodeName &target, Milliseconds wait)
{
    pickerFor(call).updateExpectedWait(target, wait, Clock::now());
}

void CallRouter::updateTargetLoad(const NodeName &target, TargetLoad load, Milliseconds wait, TimePoint observed)
{
    m_picker.updateTargetLoad(target, load, wait, observed);
}

void CallRouter::updatePoolLoad(const PoolReport &pool, TimePoint observed)
{
    m_picker.updatePoolLoad(pool.dataCentre, pool.service, {pool.calls, pool.limit}, Milliseconds(pool.waitMs), observed);
}

RetryBudget &CallRouter::budgetOf(const ServiceName &service)
{
    return m_retryBudgets.try_emplace(service, m_options.retryBudget).first->second;
}

// Only one node in a call tree retries calls that may have run: with seven layers that each try
// three times, one failure would become two thousand calls. A call that certainly did not run is
// retried by the layer whose call was rejected.
bool CallRouter::isRetryable(const IngressCall &call) const
{
    return call.route->idempotent() && !call.retriedAbove && call.unknownOutcomes < std::min(call.route->retries, ConfigLimits::MaxRetries);
}

// A rejection by a sidecar costs the targets nothing, so only attempts that reached a target draw on
// the budget.
bool CallRouter::mayRetry(IngressCall &call, AttemptResult result)
{
    // Either nobody waits for the response, or a part of the streamed body has been consumed and
    // cannot be sent again.
    const auto *body = call.connection.requestBody();
    if (call.connection.cancellation().cancelled() || (body != nullptr && body->readStarted())) {
        return false;
    }
    if (Clock::now() >= call.deadline) {
        return false;
    }
    if (isQuarantined(call) || (call.endedTarget && !mayRetryAfterEnd(call))) {
        return false;
    }
    if (result == AttemptResult::KeyRevoked) {
        return false;
    }
    if (!isSent(result)) {
        return true;
    }
    if (call.attemptsSent >= call.route->maxTargets) {
        return false;
    }
    if (mayHaveRun(result)) {
        // The only place where a call could run twice: a call that may have run is retried only if
        // its route is idempotent.
        if (!isRetryable(call) || !nestedCallsHaveBudget(call)) {
            return false;
        }
        ++call.unknownOutcomes;
        call.excludedFromRetry.push_back(call.lastTarget);
    }
    if (m_options.policy.retryBudget && !budgetOf(call.service).tryTakeToken(call.hasRunningParent, Clock::now())) {
        return false;
    }
    call.retryReserved = m_options.policy.retryBudget;
    return true;
}

void CallRouter::attemptEnded(IngressCall &call, AttemptResult result)
{
    if (isSent(result)) {
        ++call.attemptsSent;
        call.retryReserved = false;
        // Further attempts do not go to the canary version.
        call.canary = nullptr;
    }
}

// A retry that found no free slot cost the targets nothing, so it is returned to the budget for
// another call.
void CallRouter::callEnded(IngressCall &call)
{
    if (std::exchange(call.retryReserved, false)) {
        budgetOf(call.service).returnToken();
    }
}

bool CallRouter::outlastsStop(const IngressCall &call) const
{
    const auto now = Clock::now();
    return !m_stopAdmission.admits({.service = call.service,
                                       .repeatable = call.route->idempotent(),
                                       .timeLeft = std::chrono::duration_cast<Milliseconds>(call.deadline - now),
                                       .objective = call.route->sloLatency,
                                       .serviceTime = m_slack.waitBound(call.route->name, call.route->sloLatency).serviceTime},
        now);
}

Offer CallRouter::choose(IngressCall &call)
{
    if (outlastsStop(call)) {
        call.rejectedForStop = true;
        return {};
    }
    if (isSuspect(call)) {
        return chooseForSuspect(call);
    }
    if (call.unknownOutcomes > 0) {
        return chooseForRetry(call);
    }
    if (call.canary != nullptr) {
        if (const auto offer = chooseCanary(call); offer.target != nullptr) {
            return offer;
        }
        call.canary = nullptr;
        call.offers = {};
    }
    return nextOffer(pickerFor(call),
        call.view->targetsOf(call.service),
        call.offers,
        {.dataCentre = m_options.dataCentre, .preferredTarget = localTarget(call), .offerRemoteBeforeQueueing = !call.hasLargeBody},
        Clock::now());
}

// Calls do not wait for a slot of the canary version: without a free slot they go to the other
// targets.
Offer CallRouter::chooseCanary(IngressCall &call)
{
    auto &offered = call.offers.offeredWithoutWaiting;
    if (offered.size() >= MaxCanaryOffers) {
        return {};
    }
    const auto *target = pickerFor(call).selectForQueueing(call.canary->targets, offered, Clock::now());
    if (target != nullptr) {
        offered.push_back(target->name);
    }
    return {target, false};
}

// The local target for a call with a large body or response, which then needs no network link; null for
// other calls, or if there is none.
const MemberRecord *CallRouter::localTarget(const IngressCall &call) const
{
    const auto &targets = call.view->targetsOf(call.service);
    const auto local = std::find_if(targets.begin(), targets.end(), [this](const auto &target) { return target.name == m_options.node; });
    return (call.hasLargeBody || call.hasLargeResponse) && local != targets.end() ? &*local : nullptr;
}

void CallRouter::recordServiceTime(const IngressCall &call, std::chrono::microseconds time)
{
    m_slack.recordAnswered(call.route->name, time);
    m_stopAdmission.recordAnswered(call.service, time);
}

// A nested call has no limit: without its response, even a late one, the work of its parent call is
// lost. Neither has a call with a large response: the sidecar bounds its wait by the caller's deadline,
// since a late response is better than none. It is first offered without waiting, which such a sidecar
// accepts only if the response can be on time.
std::optional<CallSlack::WaitBound> CallRouter::waitBound(const IngressCall &call) const
{
    const auto objective = call.route->sloLatency;
    if (call.hasRunningParent || call.hasLargeResponse || objective.count() == 0) {
        return std::nullopt;
    }
    return m_slack.waitBound(call.route->name, objective);
}

bool CallRouter::canMeetObjective(const IngressCall &call) const
{
    const auto objective = call.route->sloLatency;
    return objective.count() > 0 && m_slack.canMeetObjective(call.route->name, objective, call.waitedBefore);
}

std::optional<Milliseconds> CallRouter::waitLeft(const IngressCall &call) const
{
    const auto bound = waitBound(call);
    if (!bound) {
        return std::nullopt;
    }
    const auto until = call.begin + bound->wait;
    return std::max(std::chrono::duration_cast<Milliseconds>(until - Clock::now()), Milliseconds(0));
}

// A retry goes only to a target with a free slot: under overload it would take the slot of a call
// that has not been tried yet. It does not go back to the target that failed it.
Offer CallRouter::chooseForRetry(IngressCall &call)
{
    if (call.retryOffers >= MaxRetryOffers) {
        return {};
    }
    const auto *target = pickerFor(call).pick(call.view->targetsOf(call.service), call.excludedFromRetry, Clock::now(), true);
    if (target != nullptr) {
        ++call.retryOffers;
        call.excludedFromRetry.push_back(target->name);
    }
    return {target, false};
}

// A streamed body can be read only once. A node that is stopping starts no attempts beside those that it has
// to finish.
const MemberRecord *CallRouter::chooseReplacement(IngressCall &call)
{
    const bool allowed = !m_stopping && !isSuspect(call) && call.connection.requestBody() == nullptr && call.attemptsSent + 1 < call.route->maxTargets
        && call.replacementOffers < MaxReplacementOffers && nestedCallsHaveBudget(call);
    if (!allowed) {
        return nullptr;
    }
    const auto now = Clock::now();
    auto excluded = call.excludedFromRetry;
    excluded.push_back(call.lastTarget);
    const auto *target = pickerFor(call).pick(call.view->targetsOf(call.service), excluded, now, true);
    if (target == nullptr || !budgetOf(call.service).tryTakeToken(call.hasRunningParent, now)) {
        return nullptr;
    }
    ++call.replacementOffers;
    return target;
}

void CallRouter::replacementRejected(const IngressCall &call)
{
    budgetOf(call.service).returnToken();
}

void CallRouter::otherAttemptEnded(IngressCall &call, AttemptResult result, const NodeName &target)
{
    if (!isSent(result)) {
        return;
    }
    ++call.attemptsSent;
    if (mayHaveRun(result)) {
        ++call.unknownOutcomes;
        call.excludedFromRetry.push_back(target);
    }
}

void CallRouter::recordResult(const IngressCall &call, const NodeName &target, AttemptResult result, const Result<HttpResponse> &response)
{
    const auto now = Clock::now();
    auto &picker = pickerFor(call);
    const auto load = response ? loadHeader(*response) : std::nullopt;
    if (load) {
        picker.updateReportedLoad(target, *load, now);
    }
    switch (result) {
    case AttemptResult::Answered:
        picker.attemptSucceeded(call.service, target);
        break;
    case AttemptResult::Failed:
    case AttemptResult::NotRunByTarget:
    case AttemptResult::Overloaded:
    case AttemptResult::OutcomeUnknown:
        picker.attemptFailed(call.service, target, now);
        break;
    case AttemptResult::KeyRevoked:
        break;
    case AttemptResult::NotRun:
        // A rejection without a load report says nothing of when slots are free, so back off.
        if (!load) {
            picker.backOff(target, now);
        }
        break;
    }
}

}
