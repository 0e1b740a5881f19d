#include "daemon/ingress.h"

#include "core/calls/attempttimer.h"
#include "core/calls/callheaders.h"
#include "core/calls/routelimiter.h"
#include "core/config/configlimits.h"
#include "daemon/callmessages.h"

#include <atomic>
#include <fmt/format.h>

namespace Galenahill {

namespace {

// Attempts of one call that definitely didn't run, whatever the route says.
constexpr std::size_t MaxAttempts = 4;

// One call on its way through the ingress.
struct Call
{
    std::shared_ptr<const RoutingView> view;
    const RouteDefinition *route = nullptr;
    CallId id;
    TimePoint deadline;
    HttpRequest request;
    ServerConnection &connection;
    std::vector<NodeName> tried;
    // Attempts that may have run.
    std::uint32_t uncertain = 0;
    // A node nearer to the first caller repeats the call if it fails.
    bool retriedAbove = false;
};

// How one attempt ended.
enum class AttemptEnd {
    Answered,
    NotRun,
    // The target answered that it has no room. Unlike a sidecar's refusal,
    // that doesn't prove that the call didn't run.
    Shed,
    OutcomeUnknown,
};

struct Attempt
{
    AttemptEnd end = AttemptEnd::NotRun;
    HttpResponse response;
    // What is still to come of a long answer.
    std::unique_ptr<BodySource> rest;
};

CallEnd endOf(const HttpResponse &response)
{
    if (saysNotRun(response)) {
        return CallEnd::NotRun;
    }
    if (saysOutcomeUnknown(response)) {
        return CallEnd::OutcomeUnknown;
    }
    return response.result_int() >= 500 ? CallEnd::TargetFailed : CallEnd::Answered;
}

std::string_view pathOf(const HttpRequest &request)
{
    const std::string_view target(request.target().data(), request.target().size());
    return target.substr(0, target.find('?'));
}

}

class Ingress::Private
{
public:
    explicit Private(Options given)
        : options(std::move(given))
        , picker({.dataCentre = options.dataCentre, .seed = options.seed, .policy = options.policy})
        , retries({})
    {
    }

    Options options;
    TargetPicker picker;
    RetryBudget retries;
    AttemptTimer attempts;
    RouteLimiter routes{{}};
    std::atomic<std::uint64_t> retriesMade = 0;
    std::shared_ptr<const RoutingView> view;
    std::uint64_t nextCall = 1;

    asio::awaitable<HttpResponse> admit(Call &call);
    asio::awaitable<HttpResponse> route(Call &call);
    asio::awaitable<Attempt> attempt(Call &call, const MemberRecord &target);
    void setSidecarFields(Call &call, TimePoint deadline) const;
    TimePoint attemptDeadline(const Call &call) const;
    void learn(const MemberRecord &target, const Attempt &attempt, const Result<HttpResponse> &response);
    bool mayRepeat(const Call &call) const;
    bool mayRetry(Call &call, AttemptEnd end);
    HttpResponse finalAnswer(const Call &call, Attempt last, bool uncertain) const;
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

asio::awaitable<HttpResponse> Ingress::handle(HttpRequest request, ServerConnection &connection)
{
    Call call{.connection = connection};
    call.view = d->view;
    if (!call.view || !call.view->config) {
        co_return notRunResponse(http::status::service_unavailable, "no-configuration", "this node has no configuration yet; come back or use another node");
    }
    const auto &snapshot = *call.view->config->snapshot;
    const std::string method(request.method_string());
    call.route = snapshot.route(method, pathOf(request));
    if (call.route == nullptr) {
        const bool otherMethod = snapshot.hasPath(pathOf(request));
        const auto status = otherMethod ? http::status::method_not_allowed : http::status::not_found;
        co_return notRunResponse(status, "no-route", fmt::format("no route takes {} {}", method, std::string(pathOf(request))));
    }
    auto timeout = call.route->timeout;
    if (const auto wanted = timeoutHeader(request)) {
        timeout = std::min(timeout, Milliseconds(std::max<std::int64_t>(*wanted, 0)));
    }
    const auto begin = Clock::now();
    call.deadline = begin + std::min(timeout, ConfigLimits::MaxTimeout);
    call.retriedAbove = request.find(CallHeaders::RetriedAbove) != request.end();
    call.id = CallId(fmt::format("{}-{}", d->options.node.value(), d->nextCall++));
    stripFields(request);
    request.keep_alive(true);
    call.request = std::move(request);
    auto response = co_await d->admit(call);
    d->options.callEnded(*call.route, endOf(response), std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - begin));
    co_return response;
}

std::uint64_t Ingress::retries() const
{
    return d->retriesMade;
}

asio::awaitable<HttpResponse> Ingress::Private::admit(Call &call)
{
    if (!routes.tryEnter(call.route->name)) {
        co_return notRunResponse(
            http::status::service_unavailable, "refused", fmt::format("this node holds as many calls of route {} as it may", call.route->name.value()));
    }
    auto response = co_await route(call);
    routes.leave(call.route->name);
    co_return response;
}

// Only one node in a tree of calls repeats what may have run: with seven
// layers that each try three times, one failure would become two thousand
// calls. What certainly didn't run is retried by the layer that was refused.
bool Ingress::Private::mayRepeat(const Call &call) const
{
    return call.route->idempotent && !call.retriedAbove && call.uncertain < std::min(call.route->retries, ConfigLimits::MaxRetries);
}

bool Ingress::Private::mayRetry(Call &call, AttemptEnd end)
{
    // Nobody waits for the answer, or a part of the body is gone for good.
    const auto *body = call.connection.requestBody();
    if (call.connection.cancellation().cancelled() || (body != nullptr && body->taken())) {
        return false;
    }
    if (call.tried.size() >= MaxAttempts || Clock::now() >= call.deadline) {
        return false;
    }
    if (end != AttemptEnd::NotRun) {
        // Only here could a call run twice: what may have run is repeated
        // only if the route says that repeating does no harm.
        if (!mayRepeat(call)) {
            return false;
        }
        ++call.uncertain;
    }
    return !options.policy.retryBudget || retries.tryTake();
}

HttpResponse Ingress::Private::finalAnswer(const Call &call, Attempt last, bool uncertain) const
{
    if (last.end == AttemptEnd::Answered || last.end == AttemptEnd::Shed) {
        stripFields(last.response);
        return std::move(last.response);
    }
    if (uncertain) {
        return outcomeUnknownResponse(fmt::format("call {} may have run; find out before repeating it", call.id.value()));
    }
    return notRunResponse(http::status::service_unavailable,
        "refused",
        fmt::format("call {} was not run: no target of {} takes it now", call.id.value(), call.route->service.value()));
}

asio::awaitable<HttpResponse> Ingress::Private::route(Call &call)
{
    retries.callMade();
    const auto &targets = call.view->targetsOf(call.route->service);
    bool uncertain = false;
    Attempt last;
    const auto *target = picker.pick(targets, call.tried, Clock::now());
    while (target != nullptr) {
        call.tried.push_back(target->name);
        last = co_await attempt(call, *target);
        if (last.end == AttemptEnd::Answered) {
            break;
        }
        uncertain = uncertain || last.end != AttemptEnd::NotRun;
        // A retry goes only where there is room: under overload it would be
        // refused again and delay the caller's refusal.
        target = picker.pick(targets, call.tried, Clock::now(), options.policy.retryBudget);
        if (target == nullptr || !mayRetry(call, last.end)) {
            break;
        }
        ++retriesMade;
    }
    if (last.rest) {
        stripFields(last.response);
        const HttpResponse sent(last.response.result(), last.response.version());
        co_await call.connection.sendStreamed(std::move(last.response), *last.rest);
        co_return sent;
    }
    co_return finalAnswer(call, std::move(last), uncertain);
}

TimePoint Ingress::Private::attemptDeadline(const Call &call) const
{
    const bool leavesTime = options.policy.retryBudget && mayRepeat(call);
    return leavesTime ? attempts.attemptDeadline(call.route->name, Clock::now(), call.deadline) : call.deadline;
}

void Ingress::Private::setSidecarFields(Call &call, TimePoint deadline) const
{
    auto &request = call.request;
    request.set(CallHeaders::CallId, call.id.value());
    request.set(CallHeaders::Service, call.route->service.value());
    request.set(CallHeaders::Route, call.route->name.value());
    request.set(CallHeaders::TimeoutMs, std::to_string(std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()).count()));
    if (call.retriedAbove || (call.route->idempotent && call.route->retries > 0)) {
        request.set(CallHeaders::RetriedAbove, "yes");
    }
}

void Ingress::Private::learn(const MemberRecord &target, const Attempt &attempt, const Result<HttpResponse> &response)
{
    const auto now = Clock::now();
    const auto load = response ? loadHeader(*response) : std::nullopt;
    if (load) {
        picker.reported(target.name, *load, now);
    }
    switch (attempt.end) {
    case AttemptEnd::Answered:
        picker.succeeded(target.name);
        break;
    case AttemptEnd::Shed:
    case AttemptEnd::OutcomeUnknown:
        picker.failed(target.name, now);
        break;
    case AttemptEnd::NotRun:
        // A full target is told by its load; one that can't say it rests.
        if (!load) {
            picker.rest(target.name, now);
        }
        break;
    }
}

asio::awaitable<Attempt> Ingress::Private::attempt(Call &call, const MemberRecord &target)
{
    const auto begin = Clock::now();
    const auto deadline = attemptDeadline(call);
    if (deadline - begin < Milliseconds(1)) {
        co_return Attempt{};
    }
    setSidecarFields(call, deadline);
    picker.begin(target.name);
    Attempt result;
    HttpClient::Companions companions;
    companions.cancellation = &call.connection.cancellation();
    companions.requestBody = call.connection.requestBody();
    companions.askFirst = true;
    companions.answerBody = &result.rest;
    const auto sidecar = target.sidecar();
    auto response = co_await options.client.exchange(sidecar, call.request, deadline, companions);
    picker.end(target.name);
    if (!response) {
        result.end = response.error().kind == ErrorKind::Unavailable ? AttemptEnd::NotRun : AttemptEnd::OutcomeUnknown;
    } else if (saysNotRun(*response)) {
        result.end = AttemptEnd::NotRun;
    } else if (saysOutcomeUnknown(*response)) {
        result.end = AttemptEnd::OutcomeUnknown;
    } else {
        result.end = response->result() == http::status::service_unavailable ? AttemptEnd::Shed : AttemptEnd::Answered;
    }
    if (call.connection.cancellation().cancelled()) {
        // The caller ended it; that says nothing about the target.
        co_return result;
    }
    learn(target, result, response);
    if (result.end == AttemptEnd::Answered || result.end == AttemptEnd::OutcomeUnknown) {
        attempts.observed(call.route->name, std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - begin));
    }
    if (response) {
        result.response = std::move(*response);
    }
    co_return result;
}

}
