#include "daemon/calls/ingress_p.h"

#include "core/calls/callheaders.h"
#include "core/config/configlimits.h"
#include "daemon/calls/callmessages.h"

#include <algorithm>
#include <fmt/format.h>

namespace Galenahill {

namespace {

// A longer body takes more time on a slow link than a round trip between data centres.
constexpr std::size_t LargeBodyBytes = 4096;

// Whether any of the targets is on a VM whose node knows the speed of its link.
bool anyLinkKnown(const std::vector<MemberRecord> &targets)
{
    return std::any_of(targets.begin(), targets.end(), [](const MemberRecord &target) { return target.linkMbps > 0; });
}

}

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
        call.givenTime = left;
        timeout = std::min(timeout, left);
    }
    call.deadline = call.begin + std::min(timeout, ConfigLimits::MaxTimeout);
}

// A returning call that can no longer be answered within its objective is treated as a new one: its wait
// would only make it late for certain.
void Ingress::Private::recogniseReturn(IngressCall &call)
{
    if (call.hasRunningParent || !call.givenTime) {
        return;
    }
    call.waitedBefore = returningCalls.waitedBefore(call.route->name, *call.givenTime, call.begin);
    if (call.waitedBefore.count() > 0) {
        ++returnedCalls;
        call.waitCounts = router.canMeetObjective(call);
    }
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

asio::awaitable<HttpResponse> Ingress::handle(HttpRequest request, ServerConnection &connection)
{
    IngressCall call{.connection = connection};
    call.view = d->view;
    call.begin = Clock::now();
    const auto &idField = d->options.headerNames.requestId;
    call.id = idField.empty() ? CallId(fmt::format("{}-{}", d->options.node.value(), d->nextCall++)) : CallId(std::string(request[idField]));
    connection.setRequestId(call.id.value());
    if (d->callsEnded) {
        d->reportUnrouted(call, 0, "the node is stopping");
        co_return notRunResponse(http::status::service_unavailable, "stopping", "this node is stopping; send the request to another one");
    }
    if (!call.view || !call.view->config) {
        d->reportUnrouted(call, 0, "no configuration");
        co_return notRunResponse(http::status::service_unavailable, "no-configuration", "this node has no configuration yet; retry later or use another node");
    }
    const auto &snapshot = *call.view->config->snapshot;
    const std::string method(request.method_string());
    call.route = snapshot.route(method, pathOf(request), hostOf(request));
    const auto parent = d->parentOf(call.id);
    if (const auto status = d->identify(call, request, parent); !CallerIdentity{.status = status}.accepted()) {
        co_return d->rejectCaller(call, status);
    }
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
    // A call that an abandoned one makes runs like any other: nobody waits for its parent, so it does not go first.
    call.hasRunningParent = parent && !parent->isAbandoned;
    call.origin = d->originOf(call, parent);
    d->recogniseReturn(call);
    call.priority = call.hasRunningParent    ? parent->priority
        : call.customerDefinition != nullptr ? call.customerDefinition->priority.value_or(call.route->priority)
                                             : call.route->priority;
    if (call.hasRunningParent && d->options.nestedCallMade) {
        d->options.nestedCallMade(parent->route, call.service);
    }
    call.hasLargeBody = connection.requestBody() != nullptr || request.body().size() > LargeBodyBytes;
    call.hasLargeResponse = call.route->type == CallType::LargeResponse && anyLinkKnown(call.view->targetsOf(call.service));
    call.digest = contentDigest(request, connection.requestBody());
    stripFields(request, d->options.headerNames);
    request.keep_alive(true);
    call.request = std::move(request);
    d->running.push_back(call);
    auto response = co_await d->admit(call);
    d->options.callEnded(*call.route, callResultOf(response), std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - call.begin));
    d->reportCustomer(call, response);
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

void Ingress::prepareToStop(TimePoint callsEnd)
{
    d->router.prepareToStop(callsEnd);
}

std::size_t Ingress::endCalls()
{
    d->callsEnded = true;
    std::vector<IngressCall *> calls;
    for (auto &call : d->running) {
        calls.push_back(&call);
    }
    return static_cast<std::size_t>(std::count_if(calls.begin(), calls.end(), [this](auto *call) { return d->endForStop(*call); }));
}

std::map<ServiceName, RetryBudget::Counts> Ingress::retryCounts() const
{
    return d->router.retryCounts();
}

std::uint64_t Ingress::quarantinedCalls() const
{
    return d->quarantinedCalls;
}

std::uint64_t Ingress::shedCalls() const
{
    return d->shedCalls;
}

std::uint64_t Ingress::returnedCalls() const
{
    return d->returnedCalls;
}

std::uint64_t Ingress::callsWithoutTime() const
{
    return d->callsWithoutTime;
}

std::uint64_t Ingress::attemptsReplaced() const
{
    return d->attemptsReplaced;
}

std::uint64_t Ingress::replacementsRejected() const
{
    return d->replacementsRejected;
}

std::uint64_t Ingress::replacementsUnused() const
{
    return d->replacementsUnused;
}

std::uint64_t Ingress::responsesEndedEarly() const
{
    return d->responsesEndedEarly;
}

std::uint64_t Ingress::retries() const
{
    return d->retriesMade;
}

}
