#include "daemon/calls/sidecar_p.h"

#include "core/calls/callheaders.h"
#include "daemon/targetprobe.h"

namespace Galenahill {

namespace {

using Microseconds = std::chrono::microseconds;

}

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
    d->view = view;
    d->largeResponseRoutes.clear();
    if (view && view->config) {
        for (const auto &route : view->config->snapshot->routes()) {
            if (route.type == CallType::LargeResponse) {
                d->largeResponseRoutes.insert(route.name);
            }
        }
    }
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
            {"rate_limit", loggedRate(limiter.limit())},
            {"previous", loggedRate(previous)},
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
        // Without a notice of its departure, the former process has ended by itself.
        if (d->state != MemberState::Draining) {
            d->targetEnded("announcement of another start");
        }
        // Idle connections lead to the target process that was there before.
        d->options.client.closeIdle(d->options.target);
        d->setState(MemberState::Starting);
        d->slots->resetRateLimit();
    }
    d->targetId = target.id;
    d->targetStartedAt = target.startedAt;
    d->announcedSlots = target.slots;
    d->targetVersion = target.version;
    d->guard.setVersion(target.version);
    d->slots->setSlots(target.slots);
    d->setState(state);
    if (state == MemberState::Ready) {
        d->slots->admitWaiting();
    } else {
        d->rejectWaiting();
    }
}

void Sidecar::setVersionRule(const std::optional<VersionRule> &rule)
{
    if (d->guard.setRule(rule) && d->guard.rejectsAll()) {
        d->rejectWaiting();
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
    // Slots that the rate limit leaves unused, or that are reserved for nested calls, count as taken.
    const auto taken = limit - std::min(limit, slots->freeSlots());
    const auto calls = std::max(slots->running() + slots->withheldSlots() + static_cast<std::uint32_t>(slots->waiting()), taken);
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
    connection.setRequestId(call.id);
    call.route = RouteName(std::string(request[CallHeaders::Route]));
    call.deadline = call.arrived + Milliseconds(timeoutHeader(request).value_or(0));
    call.terms = termsHeader(request);
    if (!call.terms.digest && request.body().empty() && connection.requestBody() == nullptr) {
        call.terms.digest = contentDigest(request, nullptr);
    }
    call.customer = customerHeader(request);
    call.callerService = std::string(request[CallHeaders::CallerService]);
    if (call.terms.objectiveLeft) {
        call.objective = call.arrived + *call.terms.objectiveLeft;
    }
    if (const auto reason = keep->rejectionReason(request); !reason.empty()) {
        keep->logRejection(call, reason);
        co_return keep->reject(reason);
    }
    if (const auto reason = keep->quarantineReason(call)) {
        co_return keep->rejectForQuarantine(call, *reason);
    }
    // Releases the memory of the buffered body, and the response's place on the link, however the call ends.
    const auto release = [&keep](SlotCall *ended) {
        keep->bodyReceiver.release(ended->bufferedBytes);
        keep->responseSender->end(*ended);
    };
    const std::unique_ptr<SlotCall, decltype(release)> bodyGuard(&call, release);
    if (BodyReceiver::buffers(connection.requestBody())) {
        auto rejected = co_await keep->bufferBody(request, call, connection);
        if (rejected) {
            co_return std::move(*rejected);
        }
    }
    if (keep->usesOutboundLink(call, connection)) {
        auto rejected = co_await keep->waitForLink(call, connection);
        if (rejected) {
            co_return std::move(*rejected);
        }
    }
    const auto endSuspect = [&keep](SlotCall *ended) { keep->suspectRunning = keep->suspectRunning && !ended->runsAsSuspect; };
    const std::unique_ptr<SlotCall, decltype(endSuspect)> suspectGuard(&call, endSuspect);
    if (keep->isSuspect(call)) {
        auto rejected = co_await keep->waitForSuspects(call, connection);
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
    if (keep->keyRevoked(call)) {
        keep->slots->release(call, AdmissionController::ReleaseReason::NotSent);
        keep->logRejection(call, rejectionText(CallerIdentity::Status::UnknownKey));
        co_return unauthorizedResponse(CallerIdentity::Status::UnknownKey);
    }
    // Other targets may have ended under the request while this one waited.
    const auto quarantined = keep->quarantineReason(call);
    if (quarantined || (keep->isSuspect(call) && !call.runsAsSuspect)) {
        keep->slots->release(call, AdmissionController::ReleaseReason::NotSent);
        co_return keep->rejectForQuarantine(call, quarantined.value_or("a target has ended under the request while it waited"));
    }
    co_return co_await keep->forward(std::move(request), call, connection);
}

// The key may have been revoked while the call waited for its slot. A nested call runs all the same: without
// it, the work of its parent call, which was accepted with the key, would be lost.
bool Sidecar::Private::keyRevoked(const SlotCall &call) const
{
    return call.customer && !call.terms.hasRunningParent && view && view->config
        && isRevoked(*call.customer, *view->config->snapshot, view->config->revision());
}

std::string Sidecar::Private::callIdOf(const HttpRequest &request) const
{
    const auto &field = options.headerNames.requestId;
    return std::string(field.empty() ? request[CallHeaders::CallId] : request[field]);
}

void Sidecar::drain()
{
    d->slots->startDraining();
    d->rejectWaiting();
}

void Sidecar::nestedCallMade(const RouteName &route, const ServiceName &service)
{
    d->calledServices.add(route, service);
}

std::optional<RunningCall> Sidecar::running(std::string_view id) const
{
    return d->running.find(id, Clock::now());
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

std::uint32_t Sidecar::reservedSlots() const
{
    return d->slots->reservedSlots();
}

std::uint64_t Sidecar::callsSent() const
{
    return d->callsSent;
}

std::uint64_t Sidecar::rateLimitedCalls() const
{
    return d->rateLimitedCalls;
}

const ResponseSender &Sidecar::responseSender() const
{
    return *d->responseSender;
}

std::size_t Sidecar::customersAboveShare() const
{
    return d->slots->customersAboveShare();
}

std::uint64_t Sidecar::rejectedAboveShare() const
{
    return d->slots->rejectedAboveShare();
}

const TargetRateLimiter &Sidecar::rateLimiter() const
{
    return d->slots->rateLimiter();
}

}
