#include "daemon/calls/callmessages.h"
#include "daemon/calls/ingress_p.h"

namespace Galenahill {

namespace {

std::vector<std::string_view> authorizationFields(const HttpRequest &request)
{
    std::vector<std::string_view> values;
    const auto [begin, end] = request.equal_range(http::field::authorization);
    for (auto field = begin; field != end; ++field) {
        values.emplace_back(field->value().data(), field->value().size());
    }
    return values;
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

// The key is removed from the request whatever the result, so that it reaches no other node and no target.
CallerIdentity::Status Ingress::Private::identify(IngressCall &call, HttpRequest &request, const std::optional<RunningCall> &parent) const
{
    const auto &snapshot = *call.view->config->snapshot;
    if (!snapshot.requiresKeys()) {
        return CallerIdentity::Status::NoKeyNeeded;
    }
    const auto identity = identifyCaller(snapshot, call.route, authorizationFields(request), parent.has_value());
    request.erase(http::field::authorization);
    if (identity.status == CallerIdentity::Status::Identified) {
        call.customer
            = IdentifiedCustomer{.name = identity.customer->name, .keyFingerprint = identity.key->fingerprint(), .revision = call.view->config->revision()};
        call.customerDefinition = identity.customer;
    } else if (parent && !parent->isAbandoned) {
        call.customer = parent->customer;
    }
    return identity.status;
}

// A call that names a parent is no caller's, also if the parent was abandoned or was sent to the target before this process
// started.
CallOrigin Ingress::Private::originOf(const IngressCall &call, const std::optional<RunningCall> &parent) const
{
    if (parent) {
        return parent->isRetry ? CallOrigin::RetryAtTarget : CallOrigin::Target;
    }
    const auto &parentOf = options.headerNames.parentOf;
    return parentOf && !parentOf(call.id.value()).empty() ? CallOrigin::Target : CallOrigin::Caller;
}

// The target may be executing calls that were sent to it before this process started, and their nested
// calls cannot be told from those of callers without a key.
bool Ingress::Private::mayHaveUnknownParent(const IngressCall &call) const
{
    const auto &parentOf = options.headerNames.parentOf;
    return parentOf && !parentOf(call.id.value()).empty() && Clock::now() < options.parentsKnownFrom;
}

HttpResponse Ingress::Private::rejectCaller(const IngressCall &call, CallerIdentity::Status status) const
{
    if (status == CallerIdentity::Status::MissingKey && mayHaveUnknownParent(call)) {
        const std::string reason = "the call has no key, and its parent call is not known since this node was restarted; retry later";
        reportUnrouted(call, static_cast<unsigned>(http::status::service_unavailable), reason);
        return notRunResponse(http::status::service_unavailable, "unknown-parent", reason);
    }
    auto response = unauthorizedResponse(status);
    reportUnrouted(call, response.result_int(), rejectionText(status));
    if (options.customerCallEnded) {
        options.customerCallEnded(CustomerName(), CustomerEvent::Unauthorized);
    }
    return response;
}

// Nested calls that were identified by their parents count as part of those.
void Ingress::Private::reportCustomer(const IngressCall &call, const HttpResponse &response) const
{
    if (call.customerDefinition == nullptr || !options.customerCallEnded) {
        return;
    }
    if (const auto event = customerEventOf(callResultOf(response), response.result_int())) {
        options.customerCallEnded(call.customerDefinition->name, *event);
    }
}

}
