#include "daemon/ingress.h"

#include "core/calls/attempttimeoutpolicy.h"
#include "core/calls/callheaders.h"
#include "core/calls/priorityinversionguard.h"
#include "core/calls/retryafter.h"
#include "core/calls/routelimiter.h"
#include "core/calls/trafficsplit.h"
#include "core/config/configlimits.h"
#include "core/rollouts/versionsplit.h"
#include "daemon/callmessages.h"
#include "daemon/callrouter.h"
#include "daemon/ingresscall.h"

#include <algorithm>
#include <atomic>
#include <fmt/format.h>

namespace Galenahill {

namespace {

// Longest part of a failed attempt's response body that is logged.
constexpr std::size_t MaxReasonBytes = 120;

// A longer body takes more time on a slow link than a round trip between data centres.
constexpr std::size_t LargeBodyBytes = 4096;

// Interval at which a slow attempt checks whether another target has a free slot. Slots become
// free every few milliseconds to some tens of milliseconds.
constexpr Milliseconds RetryCheckInterval{50};

}

class Ingress::Private
{
public:
    explicit Private(Options given)
        : options(std::move(given))
        , router({.node = options.node,
              .dataCentre = options.dataCentre,
              .seed = options.seed,
              .policy = options.policy,
              .retryBudget = options.retryBudget,
              .calledServices = [this](const RouteName &route) -> const std::vector<ServiceName> & { return guard.calledServices(route); }})
        , versions(options.seed)
        , retryAfter(options.seed)
        , guard({.seed = options.seed})
    {
    }

    Options options;
    CallRouter router;
    TrafficSplit split;
    VersionSplit versions;
    RetryAfter retryAfter;
    PriorityInversionGuard guard;
    AttemptTimeoutPolicy attemptTimeouts;
    RouteLimiter routeLimiter{{}};
    std::atomic<std::uint64_t> retriesMade = 0;
    std::atomic<std::uint64_t> shedCalls = 0;
    std::shared_ptr<const RoutingView> view;
    std::uint64_t nextCall = 1;

    void assignVersion(IngressCall &call);
    void setDeadlines(IngressCall &call, const HttpRequest &request);
    std::optional<RunningCall> parentOf(const CallId &id) const;
    asio::awaitable<HttpResponse> admit(IngressCall &call);
    asio::awaitable<HttpResponse> route(IngressCall &call);
    asio::awaitable<Attempt> attempt(IngressCall &call, Offer offer);
    asio::awaitable<Result<HttpResponse>> sendToSidecar(
        IngressCall &call, const MemberRecord &target, AttemptConnection &connection, std::unique_ptr<BodySource> &remainingBody);
    asio::awaitable<Result<HttpResponse>> sendWithTimeout(
        IngressCall &call, const MemberRecord &target, AttemptConnection &connection, std::unique_ptr<BodySource> &remainingBody);
    void cancelOnceRetryable(const IngressCall &call, AttemptConnection &connection, const std::shared_ptr<asio::steady_timer> &timer);
    void setSidecarFields(IngressCall &call, bool mayWait) const;
    HttpResponse rejection(const IngressCall &call);
    HttpResponse finalResponse(IngressCall &call, Attempt last);
    void report(const IngressCall &call, const HttpResponse &response) const;
    void reportUnrouted(const IngressCall &call, unsigned status, std::string reason) const;
};

Ingress::Ingress(Options options)
    : d(std::make_unique<Private>(std::move(options)))
{
}

Ingress::~Ingress() = default;

void Ingress::setView(std::shared_ptr<const RoutingView> view)
{
    d->view = std::move(view);
}

void Ingress::setRetryBudget(RetryBudget::Options options)
{
    d->router.setRetryBudget(options);
}

void Ingress::targetLoadReceived(const NodeName &target, TargetLoad load, Milliseconds wait, TimePoint observed)
{
    d->router.updateTargetLoad(target, load, wait, observed);
}

void Ingress::poolLoadReceived(const PoolReport &pool, TimePoint observed)
{
    d->router.updatePoolLoad(pool, observed);
}

void Ingress::Private::setDeadlines(IngressCall &call, const HttpRequest &request)
{
    call.begin = Clock::now();
    auto timeout = call.route->timeout;
    call.callerDeadline = call.begin + std::min(timeout, ConfigLimits::MaxTimeout);
    if (const auto wanted = timeoutHeader(request, options.headerNames.timeoutMs)) {
        const Milliseconds left(std::max<std::int64_t>(*wanted, 0));
        call.callerDeadline = call.begin + std::min(left, ConfigLimits::MaxTimeout);
        timeout = std::min(timeout, left);
    }
    call.deadline = call.begin + std::min(timeout, ConfigLimits::MaxTimeout);
}

// Sends all calls to the canary version if the service has no other target.
void Ingress::Private::assignVersion(IngressCall &call)
{
    const auto *canary = call.view->canaryOf(call.service);
    if (canary == nullptr || canary->targets.empty()) {
        return;
    }
    const bool onlyCanary = call.view->targetsOf(call.service).empty();
    if (onlyCanary || versions.next(call.service, canary->share)) {
        call.canary = canary;
        call.version = canary->version;
    }
}

// Callers choose ids freely, so an id that names a parent is trusted only if the local target is
// running the parent.
std::optional<RunningCall> Ingress::Private::parentOf(const CallId &id) const
{
    if (!options.headerNames.parentOf || !options.runningCall) {
        return std::nullopt;
    }
    const auto parent = options.headerNames.parentOf(id.value());
    return parent.empty() ? std::nullopt : options.runningCall(parent);
}

asio::awaitable<HttpResponse> Ingress::handle(HttpRequest request, ServerConnection &connection)
{
    IngressCall call{.connection = connection};
    call.view = d->view;
    call.begin = Clock::now();
    const auto &idField = d->options.headerNames.requestId;
    call.id = idField.empty() ? CallId(fmt::format("{}-{}", d->options.node.value(), d->nextCall++)) : CallId(std::string(request[idField]));
    if (!call.view || !call.view->config) {
        d->reportUnrouted(call, 0, "no configuration");
        co_return notRunResponse(http::status::service_unavailable, "no-configuration", "this node has no configuration yet; retry later or use another node");
    }
    const auto &snapshot = *call.view->config->snapshot;
    const std::string method(request.method_string());
    call.route = snapshot.route(method, pathOf(request), hostOf(request));
    if (call.route == nullptr) {
        const bool otherMethod = snapshot.hasPath(pathOf(request), hostOf(request));
        const auto status = otherMethod ? http::status::method_not_allowed : http::status::not_found;
        d->reportUnrouted(
            call, static_cast<unsigned>(status), fmt::format("no route matches {} {} {}", method, std::string(hostOf(request)), std::string(pathOf(request))));
        co_return notRunResponse(status, "no-route", fmt::format("no route matches {} {}", method, std::string(pathOf(request))));
    }
    d->setDeadlines(call, request);
    call.service = d->split.next(*call.route);
    if (!call.view->canaries.empty()) {
        d->assignVersion(call);
    }
    call.retriedAbove = request.find(CallHeaders::RetriedAbove) != request.end();
    const auto parent = d->parentOf(call.id);
    call.hasRunningParent = parent.has_value();
    call.parentIsRetry = parent && parent->isRetry;
    call.priority = parent ? parent->priority : call.route->priority;
    if (parent && d->options.nestedCallMade) {
        d->options.nestedCallMade(parent->route, call.service);
    }
    call.hasLargeBody = connection.requestBody() != nullptr || request.body().size() > LargeBodyBytes;
    stripFields(request, d->options.headerNames);
    request.keep_alive(true);
    call.request = std::move(request);
    auto response = co_await d->admit(call);
    d->options.callEnded(*call.route, callResultOf(response), std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - call.begin));
    d->report(call, response);
    co_return response;
}

bool Ingress::mayPipeline(const HttpRequest &request) const
{
    if (!d->view || !d->view->config) {
        return false;
    }
    const auto *route = d->view->config->snapshot->route(std::string(request.method_string()), pathOf(request), hostOf(request));
    return route != nullptr && route->idempotent();
}

void Ingress::prepareToStop()
{
    d->router.prepareToStop();
}

std::uint64_t Ingress::shedCalls() const
{
    return d->shedCalls;
}

std::uint64_t Ingress::retries() const
{
    return d->retriesMade;
}

void Ingress::Private::report(const IngressCall &call, const HttpResponse &response) const
{
    if (!options.callReported) {
        return;
    }
    const auto now = Clock::now();
    options.callReported({.id = call.id,
        .route = call.route->name,
        .type = call.route->type,
        .service = call.service,
        .version = call.version,
        .revision = call.view->config->revision(),
        .result = callResultOf(response),
        .status = response.result_int(),
        .target = call.lastTarget,
        .offerCount = call.offers.offeredWithoutWaiting.size() + call.offers.queuedAt.size(),
        .attemptsSent = call.attemptsSent,
        .latency = std::chrono::duration_cast<std::chrono::microseconds>(now - call.begin),
        .timeLeft = std::chrono::duration_cast<Milliseconds>(call.callerDeadline - now),
        .reportedWait = call.reportedWait,
        .cancelled = call.connection.cancellation().cancelled(),
        .hasRunningParent = call.hasRunningParent,
        .caller = call.connection.peerAddress(),
        .reason = call.reason});
}

void Ingress::Private::reportUnrouted(const IngressCall &call, unsigned status, std::string reason) const
{
    if (options.callReported) {
        options.callReported({.id = call.id,
            .revision = call.view && call.view->config ? call.view->config->revision() : Revision(),
            .result = CallResult::NotRun,
            .status = status,
            .caller = call.connection.peerAddress(),
            .reason = std::move(reason)});
    }
}

asio::awaitable<HttpResponse> Ingress::Private::admit(IngressCall &call)
{
    if (!routeLimiter.tryAcquire(call.route->name)) {
        co_return notRunResponse(http::status::service_unavailable,
            "refused",
            fmt::format("this node has reached its limit of concurrent calls, for route {} or in total", call.route->name.value()));
    }
    // A nested call is never shed here: the work of its parent call would be lost.
    if (!call.hasRunningParent && guard.shouldShed(*call.route, call.begin)) {
        routeLimiter.release(call.route->name);
        ++shedCalls;
        call.reason = fmt::format("shed: a share of {:.2f} of the higher-priority calls to the services that this route calls is being rejected",
            guard.higherPriorityRejectionRatio(*call.route, call.begin));
        co_return rejection(call);
    }
    auto response = co_await route(call);
    routeLimiter.release(call.route->name);
    if (!call.hasRunningParent) {
        guard.callEnded(*call.route, call.service, callResultOf(response) == CallResult::NotRun && call.attemptsSent == 0, Clock::now());
    }
    co_return response;
}

HttpResponse Ingress::Private::finalResponse(IngressCall &call, Attempt last)
{
    if (last.result == AttemptResult::Answered || last.result == AttemptResult::Failed || last.result == AttemptResult::Overloaded) {
        stripFields(last.response, options.headerNames);
        return std::move(last.response);
    }
    if (call.unknownOutcomes > 0 || mayHaveRun(last.result)) {
        const bool late = Clock::now() >= call.deadline;
        return outcomeUnknownResponse(fmt::format("call {} may have run; check its effect before retrying it", call.id.value()),
            late ? http::status::gateway_timeout : http::status::bad_gateway);
    }
    return rejection(call);
}

HttpResponse Ingress::Private::rejection(const IngressCall &call)
{
    const auto left = std::chrono::duration_cast<Milliseconds>(call.callerDeadline - Clock::now());
    return notRunResponse(http::status::service_unavailable,
        "refused",
        fmt::format("call {} was not run: no target of {} accepts it at present", call.id.value(), call.service.value()),
        retryAfter.delay(call.reportedWait.value_or(Milliseconds(0)), left));
}

asio::awaitable<HttpResponse> Ingress::Private::route(IngressCall &call)
{
    router.callStarted(call);
    Attempt last;
    std::optional<Attempt> failed;
    auto offer = router.choose(call);
    while (offer.target != nullptr) {
        call.lastTarget = offer.target->name;
        last = co_await attempt(call, offer);
        const auto result = last.result;
        router.attemptEnded(call, result);
        if (result == AttemptResult::Answered || !router.mayRetry(call, result)) {
            break;
        }
        if (result == AttemptResult::Failed) {
            failed = std::move(last);
            last = Attempt();
        }
        offer = router.choose(call);
        retriesMade += offer.target != nullptr && isSent(result) ? 1 : 0;
    }
    router.callEnded(call);
    // An error response of a target tells the caller more than a rejection or a timeout of the
    // retry that followed it.
    const bool answered = last.result == AttemptResult::Answered || last.result == AttemptResult::Failed;
    if (failed && !answered) {
        last = std::move(*failed);
    }
    if (last.remainingBody) {
        stripFields(last.response, options.headerNames);
        const HttpResponse sent(last.response.result(), last.response.version());
        co_await call.connection.sendStreamed(std::move(last.response), *last.remainingBody);
        co_return sent;
    }
    co_return finalResponse(call, std::move(last));
}

void Ingress::Private::setSidecarFields(IngressCall &call, bool mayWait) const
{
    auto &request = call.request;
    const auto now = Clock::now();
    CallTerms terms{.priority = call.priority,
        .objectiveLeft = std::nullopt,
        .mayWait = mayWait,
        .waitLeft = router.waitLeft(call),
        .hasRunningParent = call.hasRunningParent,
        .isRetry = call.parentIsRetry || call.unknownOutcomes > 0};
    if (call.route->sloLatency.count() > 0) {
        const auto left = std::chrono::duration_cast<Milliseconds>(call.begin + call.route->sloLatency - now);
        terms.objectiveLeft = std::max(left, Milliseconds(0));
    }
    if (options.headerNames.requestId.empty()) {
        request.set(CallHeaders::CallId, call.id.value());
    }
    request.set(CallHeaders::Service, call.service.value());
    request.set(CallHeaders::Route, call.route->name.value());
    request.set(CallHeaders::TimeoutMs, std::to_string(std::chrono::duration_cast<Milliseconds>(call.deadline - now).count()));
    if (call.canary != nullptr) {
        request.set(CallHeaders::Version, call.canary->version.value());
    } else {
        request.erase(CallHeaders::Version);
    }
    if (terms == CallTerms()) {
        request.erase(CallHeaders::Terms);
    } else {
        request.set(CallHeaders::Terms, formatTerms(terms));
    }
    if (!options.callerService.value().empty()) {
        request.set(CallHeaders::CallerService, options.callerService.value());
    }
    if (call.retriedAbove || (call.route->idempotent() && call.route->retries > 0)) {
        request.set(CallHeaders::RetriedAbove, "yes");
    }
}

// Sends the call to the target's sidecar. An Unavailable error means that it was not sent.
asio::awaitable<Result<HttpResponse>> Ingress::Private::sendToSidecar(
    IngressCall &call, const MemberRecord &target, AttemptConnection &connection, std::unique_ptr<BodySource> &remainingBody)
{
    const auto sidecar = target.sidecar();
    if (options.callLocalSidecar && sidecar == options.localSidecar) {
        co_return co_await options.callLocalSidecar(call.request, connection);
    }
    HttpClient::ExchangeOptions exchangeOptions;
    exchangeOptions.cancellation = &connection.cancellation();
    exchangeOptions.requestBody = connection.requestBody();
    exchangeOptions.expectContinue = true;
    exchangeOptions.responseBody = &remainingBody;
    co_return co_await options.client.exchange(sidecar, call.request, call.deadline, exchangeOptions);
}

// Sends the call like sendToSidecar(), but cancels the attempt once it exceeds the attempt timeout
// and another target can take a retry.
asio::awaitable<Result<HttpResponse>> Ingress::Private::sendWithTimeout(
    IngressCall &call, const MemberRecord &target, AttemptConnection &connection, std::unique_ptr<BodySource> &remainingBody)
{
    const auto softDeadline = attemptTimeouts.attemptDeadline(call.route->name, Clock::now(), call.deadline);
    const auto timer = std::make_shared<asio::steady_timer>(co_await asio::this_coro::executor, softDeadline);
    cancelOnceRetryable(call, connection, timer);
    co_return co_await sendToSidecar(call, target, connection, remainingBody);
}

// A slow target may still respond. If the attempt were cancelled while no other target has a free
// slot, or the retry budget is used up, the target's work would be lost and the caller would get an
// error instead of a late response.
void Ingress::Private::cancelOnceRetryable(const IngressCall &call, AttemptConnection &connection, const std::shared_ptr<asio::steady_timer> &timer)
{
    timer->async_wait([this, &call, &connection, weak = std::weak_ptr(timer)](const ErrorCode &error) {
        // The attempt owns the timer: if the timer is gone, so are the call and the connection.
        const auto running = weak.lock();
        if (error || !running || connection.responseStarted()) {
            return;
        }
        if (router.canRetryElsewhere(call)) {
            connection.cancellation().cancel();
            return;
        }
        running->expires_after(RetryCheckInterval);
        cancelOnceRetryable(call, connection, running);
    });
}

asio::awaitable<Attempt> Ingress::Private::attempt(IngressCall &call, Offer offer)
{
    const auto begin = Clock::now();
    if (call.deadline - begin < Milliseconds(1)) {
        co_return Attempt{};
    }
    const auto &target = *offer.target;
    setSidecarFields(call, offer.mayWait);
    router.addInFlight(call, target.name);
    Attempt attempt;
    auto &connection = call.attemptConnection.emplace(call.connection);
    const bool retryable = options.policy.retryBudget && router.isRetryable(call);
    auto exchange
        = retryable ? sendWithTimeout(call, target, connection, attempt.remainingBody) : sendToSidecar(call, target, connection, attempt.remainingBody);
    auto response = co_await std::move(exchange);
    router.removeInFlight(call, target.name);
    attempt.result = attemptResultOf(response, options.headerNames);
    if (call.connection.cancellation().cancelled()) {
        // The caller cancelled the call, which says nothing about the target.
        co_return attempt;
    }
    router.recordResult(call, target.name, attempt.result, response);
    if (attempt.result == AttemptResult::Answered || attempt.result == AttemptResult::OutcomeUnknown) {
        attemptTimeouts.record(call.route->name, std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - begin));
    }
    if (!response) {
        call.reason = response.error().message;
        co_return attempt;
    }
    if (auto services = calledServicesHeader(*response); !services.empty()) {
        guard.setCalledServices(call.route->name, std::move(services));
    }
    const auto wait = waitHeader(*response);
    if (wait || loadHeader(*response)) {
        router.updateExpectedWait(call, target.name, wait.value_or(Milliseconds(0)));
    }
    if (wait && attempt.result == AttemptResult::NotRun) {
        call.reportedWait = std::min(call.reportedWait.value_or(*wait), *wait);
    }
    if (attempt.result != AttemptResult::Answered) {
        call.reason = response->body().substr(0, MaxReasonBytes);
    }
    attempt.response = std::move(*response);
    co_return attempt;
}

}
