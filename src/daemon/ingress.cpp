#include "daemon/ingress.h"

#include "core/callheaders.h"
#include "daemon/callmessages.h"

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
    std::vector<NodeName> tried;
    // Attempts that may have run.
    std::uint32_t uncertain = 0;
};

// How one attempt ended.
enum class AttemptEnd {
    Answered,
    NotRun,
    OutcomeUnknown,
};

struct Attempt
{
    AttemptEnd end = AttemptEnd::NotRun;
    HttpResponse response;
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
        , picker({.dataCentre = options.dataCentre, .seed = options.seed})
        , retries({})
    {
    }

    Options options;
    TargetPicker picker;
    RetryBudget retries;
    std::shared_ptr<const RoutingView> view;
    std::uint64_t nextCall = 1;

    asio::awaitable<HttpResponse> route(Call &call);
    asio::awaitable<Attempt> attempt(Call &call, MemberRecord target);
    bool mayRetry(Call &call, AttemptEnd end);
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

asio::awaitable<HttpResponse> Ingress::handle(HttpRequest request)
{
    Call call;
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
    call.deadline = begin + timeout;
    call.id = CallId(fmt::format("{}-{}", d->options.node.value(), d->nextCall++));
    stripFields(request);
    request.keep_alive(true);
    call.request = std::move(request);
    auto response = co_await d->route(call);
    d->options.callEnded(*call.route, endOf(response), std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - begin));
    co_return response;
}

bool Ingress::Private::mayRetry(Call &call, AttemptEnd end)
{
    if (call.tried.size() >= MaxAttempts || Clock::now() >= call.deadline) {
        return false;
    }
    if (end == AttemptEnd::OutcomeUnknown) {
        // Only here could a call run twice: what may have run is repeated
        // only if the route says that repeating does no harm.
        ++call.uncertain;
        if (!call.route->idempotent || call.uncertain > call.route->retries) {
            return false;
        }
    }
    return retries.tryTake();
}

asio::awaitable<HttpResponse> Ingress::Private::route(Call &call)
{
    retries.callMade();
    const auto &targets = call.view->targetsOf(call.route->service);
    AttemptEnd last = AttemptEnd::NotRun;
    while (const auto *target = picker.pick(targets, call.tried, Clock::now())) {
        call.tried.push_back(target->name);
        Attempt result = co_await attempt(call, *target);
        if (result.end == AttemptEnd::Answered) {
            stripFields(result.response);
            co_return std::move(result.response);
        }
        last = std::max(last, result.end);
        picker.rest(call.tried.back(), Clock::now());
        if (!mayRetry(call, result.end)) {
            break;
        }
    }
    if (last == AttemptEnd::OutcomeUnknown) {
        co_return outcomeUnknownResponse(fmt::format("call {} may have run; find out before repeating it", call.id.value()));
    }
    co_return notRunResponse(http::status::service_unavailable,
        "refused",
        fmt::format("call {} was not run: no target of {} takes it now", call.id.value(), call.route->service.value()));
}

asio::awaitable<Attempt> Ingress::Private::attempt(Call &call, MemberRecord target)
{
    const auto left = std::chrono::duration_cast<Milliseconds>(call.deadline - Clock::now());
    if (left.count() <= 0) {
        co_return Attempt{};
    }
    HttpRequest request = call.request;
    request.set(CallHeaders::CallId, call.id.value());
    request.set(CallHeaders::Service, call.route->service.value());
    request.set(CallHeaders::TimeoutMs, std::to_string(left.count()));
    picker.begin(target.name);
    auto response = co_await options.client.exchange(target.sidecar(), std::move(request), call.deadline);
    picker.end(target.name);
    Attempt result;
    if (!response) {
        result.end = response.error().kind == ErrorKind::Unavailable ? AttemptEnd::NotRun : AttemptEnd::OutcomeUnknown;
        co_return result;
    }
    result.end = saysNotRun(*response) ? AttemptEnd::NotRun : saysOutcomeUnknown(*response) ? AttemptEnd::OutcomeUnknown : AttemptEnd::Answered;
    result.response = std::move(*response);
    co_return result;
}

}
