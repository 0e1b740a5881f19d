#include "daemon/sidecar.h"

#include "core/calls/calledservices.h"
#include "core/calls/callheaders.h"
#include "core/rollouts/versionguard.h"
#include "daemon/bodyreceiver.h"
#include "daemon/slotqueue.h"
#include "daemon/targetmessages.h"
#include "daemon/targetprobe.h"
#include "daemon/targetstatements.h"

#include <unordered_map>

namespace Galenahill {

namespace {

using Microseconds = std::chrono::microseconds;

// Longest time for which a connection may have been idle to carry a call that must not be retried.
// Targets are known to forget idle connections, the earliest after 300 ms, and to reset them on the
// next request: the call did not run, but that cannot be proven. A new connection costs a
// millisecond.
constexpr Milliseconds MaxIdleWithoutRetry{200};

// The limit as it is logged; negative if there is none.
double rateOf(const std::optional<CallsPerSecond> &limit)
{
    return limit ? limit->value() : -1;
}

}

class Sidecar::Private : public std::enable_shared_from_this<Sidecar::Private>
{
public:
    explicit Private(Options given)
        : options(std::move(given))
        , slots(std::make_shared<SlotQueue>(options.context, options.policy))
        , bodyReceiver(options.context, options.link, *slots)
        , statements({.headerNames = options.headerNames,
              .log = options.log,
              .rateLimitRead = [this](std::optional<CallsPerSecond> limit, TimePoint sentAt) { updateRateLimit(limit, sentAt); },
              .leavingRead = [this] { targetLeaving(); }})
    {
    }

    Options options;
    std::shared_ptr<SlotQueue> slots;
    BodyReceiver bodyReceiver;
    TargetStatements statements;
    std::uint64_t callsSent = 0;
    std::uint64_t rateLimitedCalls = 0;
    // Id, start time and slots that the target announced; zero slots if it does not announce itself.
    std::string targetId;
    std::int64_t targetStartedAt = 0;
    std::uint32_t announcedSlots = 0;
    VersionGuard guard;
    // Calls that the target is running, by id.
    std::unordered_map<std::string, RunningCall> running;
    // Services that calls of each route make nested calls to.
    CalledServices calledServices;
    MemberState state = MemberState::Starting;

    asio::awaitable<void> probe();
    void updateRateLimit(std::optional<CallsPerSecond> limit, TimePoint sentAt);
    void targetLeaving() const;
    void setState(MemberState newState);
    std::string callIdOf(const HttpRequest &request) const;
    std::string rejectionReason(const HttpRequest &request) const;
    HttpResponse reject(const std::string &reason) const;
    HttpResponse rejectFull(const SlotCall &call);
    void logRejection(const SlotCall &call, const std::string &reason) const;
    LocalTargetLoad load() const;
    void reportLoad(HttpResponse &response) const;

    asio::awaitable<std::optional<HttpResponse>> bufferBody(HttpRequest &request, SlotCall &call, ServerConnection &connection);
    HttpResponse rejectBody(const SlotCall &call, TimePoint arrival) const;
    asio::awaitable<HttpResponse> forward(HttpRequest request, SlotCall call, ServerConnection &connection);
};

Sidecar::Sidecar(Options options)
    : d(std::make_shared<Private>(std::move(options)))
{
}

Sidecar::~Sidecar() = default;

void Sidecar::start()
{
    asio::co_spawn(d->options.context, d->probe(), asio::detached);
}

asio::awaitable<void> Sidecar::Private::probe()
{
    const auto keep = shared_from_this();
    TargetProbe healthCheck({.context = options.context,
        .client = options.client,
        .target = options.target,
        .path = options.healthPath,
        .stopped = [this] { return slots->draining(); },
        .changed = [this](MemberState newState) { setState(newState); }});
    co_await healthCheck.run();
}

void Sidecar::Private::setState(MemberState newState)
{
    if (state == newState) {
        return;
    }
    state = newState;
    if (newState == MemberState::Ready) {
        slots->restart();
    }
    if (announcedSlots == 0) {
        options.log(LogLevel::Info, "target-state", {{"state", toString(newState)}});
    }
    options.stateChanged(newState);
}

void Sidecar::setView(const std::shared_ptr<const RoutingView> &view)
{
    if (d->announcedSlots > 0) {
        return;
    }
    const auto *service = view && view->config ? view->config->snapshot->service(d->options.service) : nullptr;
    d->slots->setSlots(service == nullptr ? 0 : service->slots);
    if (service != nullptr) {
        d->options.client.limitConnections(d->options.target, service->connections);
    }
}

void Sidecar::targetResponded(const HttpResponse &response, TimePoint sentAt)
{
    d->statements.read(response, d->targetId, sentAt);
}

void Sidecar::Private::updateRateLimit(std::optional<CallsPerSecond> limit, TimePoint sentAt)
{
    const auto &limiter = slots->rateLimiter();
    const auto previous = limiter.limit();
    const auto previousAge = limiter.age(Clock::now());
    const auto change = slots->updateRateLimit(limit, sentAt);
    if (change == StatedRateLimit::Change::None) {
        return;
    }
    options.log(LogLevel::Info,
        "target-rate-limit",
        {{"change", toString(change)},
            {"rate_limit", rateOf(limiter.limit())},
            {"previous", rateOf(previous)},
            {"previous_age_ms", previousAge.count()},
            {"target", targetId},
            {"running", slots->running()},
            {"waiting", slots->waiting()}});
}

void Sidecar::Private::targetLeaving() const
{
    if (options.targetLeaving) {
        options.targetLeaving(targetId, targetStartedAt);
    }
}

void Sidecar::targetAnnounced(const TargetAnnouncement &target, MemberState state)
{
    if (d->targetId != target.id || d->targetStartedAt != target.startedAt) {
        // Idle connections lead to the target process that was there before.
        d->options.client.closeIdle(d->options.target);
        d->setState(MemberState::Starting);
        d->slots->resetRateLimit();
    }
    d->targetId = target.id;
    d->targetStartedAt = target.startedAt;
    d->announcedSlots = target.slots;
    d->guard.setVersion(target.version);
    d->slots->setSlots(target.slots);
    d->setState(state);
    if (state == MemberState::Ready) {
        d->slots->admitWaiting();
    } else {
        d->slots->rejectWaiting();
        d->bodyReceiver.rejectWaiting();
    }
}

void Sidecar::setVersionRule(const std::optional<VersionRule> &rule)
{
    if (d->guard.setRule(rule) && d->guard.rejectsAll()) {
        d->slots->rejectWaiting();
        d->bodyReceiver.rejectWaiting();
    }
}

std::string Sidecar::Private::rejectionReason(const HttpRequest &request) const
{
    if (request[CallHeaders::Service] != options.service.value()) {
        return "the target belongs to another service than the call";
    }
    if (slots->draining() || state == MemberState::Draining) {
        return "the target is draining";
    }
    if (state != MemberState::Ready) {
        return "the target is not ready yet";
    }
    const auto version = request[CallHeaders::Version];
    if (auto reason = guard.rejectionReason({version.data(), version.size()}); !reason.empty()) {
        return reason;
    }
    const auto left = timeoutHeader(request);
    if (!left || Milliseconds(*left) <= slots->lowestBaseline()) {
        return "the time left until the call's deadline is shorter than any call takes";
    }
    return {};
}

LocalTargetLoad Sidecar::Private::load() const
{
    const bool acceptsCalls = state == MemberState::Ready && !slots->draining();
    const auto wait = options.policy.byUrgency && acceptsCalls ? slots->expectedWait() : Microseconds(0);
    const auto limit = acceptsCalls ? slots->limit() : 0;
    // Slots that the rate limit leaves unused count as taken.
    const auto taken = limit - std::min(limit, slots->freeSlots());
    const auto calls = std::max(slots->running() + static_cast<std::uint32_t>(slots->waiting()), taken);
    return {{calls, limit}, std::chrono::duration_cast<Milliseconds>(wait)};
}

void Sidecar::Private::reportLoad(HttpResponse &response) const
{
    const auto localLoad = load();
    response.set(CallHeaders::Load, formatLoad(localLoad.load));
    if (localLoad.wait.count() > 0) {
        response.set(CallHeaders::WaitMs, std::to_string(localLoad.wait.count()));
    }
}

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
            {"waiting", slots->waiting()},
            {"may_wait", call.terms.mayWait},
            {"for_running_call", call.terms.hasRunningParent},
            {"waited_ms", std::chrono::duration_cast<Milliseconds>(now - call.arrived).count()},
            {"expected_wait_ms", std::chrono::duration_cast<Milliseconds>(slots->expectedWait(call)).count()},
            {"left_ms", std::chrono::duration_cast<Milliseconds>(call.deadline - now).count()},
            {"rate_limit", rateOf(slots->rateLimiter().limit())},
            {"rate_limit_age_ms", slots->rateLimiter().age(now).count()}});
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

asio::awaitable<HttpResponse> Sidecar::Private::forward(HttpRequest request, SlotCall call, ServerConnection &connection)
{
    using Reason = AdmissionController::ReleaseReason;
    const auto &headerNames = options.headerNames;
    auto forwarded = targetRequest(std::move(request), call, headerNames, targetId);
    std::unique_ptr<BodySource> remainingBody;
    HttpClient::ExchangeOptions exchangeOptions;
    exchangeOptions.cancellation = &connection.cancellation();
    exchangeOptions.requestBody = call.bufferedBytes > 0 ? nullptr : connection.requestBody();
    exchangeOptions.responseBody = &remainingBody;
    if (forwarded.count(CallHeaders::RetriedAbove) == 0 && !headerNames.notExecuted.empty()) {
        exchangeOptions.maxIdle = MaxIdleWithoutRetry;
    }
    if (!headerNames.requestId.empty()) {
        exchangeOptions.matchesRequest = [&](const http::fields &fields) {
            const auto id = fields[headerNames.requestId];
            return id.empty() || id == forwarded[headerNames.requestId];
        };
    }
    running.insert_or_assign(call.id, RunningCall{call.route, call.terms.priority, call.terms.isRetry});
    const auto begin = Clock::now();
    const auto sentTo = std::pair(targetId, targetStartedAt);
    ++callsSent;
    auto response = co_await options.client.exchange(options.target, forwarded, call.deadline, exchangeOptions);
    running.erase(call.id);
    const auto time = std::chrono::duration_cast<Microseconds>(Clock::now() - begin);
    if (options.stageEnded) {
        options.stageEnded(CallStage::Queue, std::chrono::duration_cast<Microseconds>(begin - call.arrived));
        options.stageEnded(CallStage::Target, time);
    }
    if (response) {
        const auto responseClass = classOf(*response, headerNames);
        const auto reason = releaseReasonOf(*response, responseClass, headerNames);
        const bool isCurrentTarget = sentTo == std::pair(targetId, targetStartedAt);
        if (isCurrentTarget && responseClass != ResponseClass::Untrusted) {
            statements.read(*response, targetId, begin);
        }
        if (options.callEnded && responseClass != ResponseClass::NotExecuted) {
            options.callEnded(call.route, responseClass == ResponseClass::Failed ? TargetResult::Failed : TargetResult::Answered, time);
        }
        const bool streamed = remainingBody && (responseClass == ResponseClass::Answered || responseClass == ResponseClass::Failed);
        auto answer = ingressResponse(std::move(*response), responseClass, headerNames);
        if (const auto *services = calledServices.servicesOf(call.route)) {
            answer.set(CallHeaders::Calls, formatCalledServices(*services));
        }
        if (streamed) {
            reportLoad(answer);
            co_await connection.sendStreamed(std::move(answer), *remainingBody);
            slots->release(call, reason);
            co_return answer;
        }
        // The reported load leaves this call out: otherwise a target with one slot would never appear to
        // have a free one.
        slots->release(call, reason);
        reportLoad(answer);
        co_return answer;
    }
    if (response.error().kind == ErrorKind::Unavailable) {
        slots->release(call, Reason::NotSent);
        if (options.targetUnreachable && !connection.cancellation().cancelled()) {
            options.targetUnreachable();
        }
        co_return reject("the target cannot be reached");
    }
    const bool late = Clock::now() >= call.deadline;
    const bool cancelled = connection.cancellation().cancelled();
    if (options.callEnded) {
        options.callEnded(call.route, late || cancelled ? TargetResult::Abandoned : TargetResult::Answered, time);
    }
    options.log(LogLevel::Info,
        "target-gave-no-answer",
        {{"id", call.id},
            {"route", call.route.value()},
            {"target", targetId},
            {"late", late},
            {"cancelled", cancelled},
            {"ms", std::chrono::duration_cast<Milliseconds>(Clock::now() - begin).count()},
            {"reason", response.error().message}});
    slots->release(call, cancelled ? Reason::Cancelled : late ? Reason::TimedOut : Reason::ConnectionLost);
    auto unknown = outcomeUnknownResponse(response.error().message, late ? http::status::gateway_timeout : http::status::bad_gateway);
    reportLoad(unknown);
    co_return unknown;
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

// Buffers the call's body. Returns the rejection if that fails, or nothing once the body is complete.
asio::awaitable<std::optional<HttpResponse>> Sidecar::Private::bufferBody(HttpRequest &request, SlotCall &call, ServerConnection &connection)
{
    const auto result = co_await bodyReceiver.receive(request, call, connection);
    if (result.status == BodyReceiver::Status::Rejected) {
        co_return rejectBody(call, result.arrival);
    }
    if (options.stageEnded) {
        options.stageEnded(CallStage::Body, std::chrono::duration_cast<Microseconds>(Clock::now() - call.arrived));
    }
    // The target may have started draining while the body arrived.
    const auto reason
        = result.status == BodyReceiver::Status::Interrupted ? "the request body was cut off: " + result.error.message() : rejectionReason(request);
    if (!reason.empty()) {
        logRejection(call, reason);
        co_return reject(reason);
    }
    call.arrived = Clock::now();
    co_return std::nullopt;
}

asio::awaitable<HttpResponse> Sidecar::handle(HttpRequest request, ServerConnection &connection)
{
    const auto keep = d;
    SlotCall call;
    call.arrived = Clock::now();
    call.id = keep->callIdOf(request);
    call.route = RouteName(std::string(request[CallHeaders::Route]));
    call.deadline = call.arrived + Milliseconds(timeoutHeader(request).value_or(0));
    call.terms = termsHeader(request);
    call.callerService = std::string(request[CallHeaders::CallerService]);
    if (call.terms.objectiveLeft) {
        call.objective = call.arrived + *call.terms.objectiveLeft;
    }
    if (const auto reason = keep->rejectionReason(request); !reason.empty()) {
        keep->logRejection(call, reason);
        co_return keep->reject(reason);
    }
    // Releases the memory of the buffered body however the call ends.
    const auto release = [&keep](SlotCall *ended) { keep->bodyReceiver.release(ended->bufferedBytes); };
    const std::unique_ptr<SlotCall, decltype(release)> bodyGuard(&call, release);
    if (BodyReceiver::buffers(connection.requestBody())) {
        auto rejected = co_await keep->bufferBody(request, call, connection);
        if (rejected) {
            co_return std::move(*rejected);
        }
    }
    const bool acquired = co_await keep->slots->acquire(call, connection);
    if (!acquired) {
        co_return keep->rejectFull(call);
    }
    // After a pause of this process, or a wait for a slot, the ingress may have timed out, reported that
    // to its caller and closed the connection; nobody would get the response. The target may also have
    // stopped accepting calls.
    const bool stopped = keep->state == MemberState::Draining || keep->guard.rejectsAll();
    if (stopped || connection.peerClosed()) {
        keep->slots->release(call, AdmissionController::ReleaseReason::NotSent);
        const auto *reason = stopped ? "the target stopped accepting calls" : "the ingress closed the connection";
        keep->logRejection(call, reason);
        co_return keep->reject(reason);
    }
    co_return co_await keep->forward(std::move(request), call, connection);
}

std::string Sidecar::Private::callIdOf(const HttpRequest &request) const
{
    const auto &field = options.headerNames.requestId;
    return std::string(field.empty() ? request[CallHeaders::CallId] : request[field]);
}

void Sidecar::drain()
{
    d->slots->startDraining();
    d->bodyReceiver.rejectWaiting();
}

void Sidecar::nestedCallMade(const RouteName &route, const ServiceName &service)
{
    d->calledServices.add(route, service);
}

std::optional<RunningCall> Sidecar::running(std::string_view id) const
{
    const auto found = d->running.find(std::string(id));
    return found == d->running.end() ? std::nullopt : std::optional(found->second);
}

LocalTargetLoad Sidecar::load() const
{
    auto load = d->load();
    if (d->guard.isCanary() || d->guard.rejectsAll()) {
        load.load.limit = 0;
    }
    return load;
}

bool Sidecar::idle() const
{
    return d->slots->running() == 0 && d->slots->waiting() == 0;
}

std::uint32_t Sidecar::inFlight() const
{
    return d->slots->running();
}

std::uint64_t Sidecar::callsSent() const
{
    return d->callsSent;
}

std::uint64_t Sidecar::rateLimitedCalls() const
{
    return d->rateLimitedCalls;
}

const TargetRateLimiter &Sidecar::rateLimiter() const
{
    return d->slots->rateLimiter();
}

}
