#include "daemon/controlservice.h"

#include "adapters/codec/binarycodec.h"
#include "daemon/customertext.h"
#include "daemon/metricstext.h"
#include "daemon/operatormethods.h"

#include <algorithm>
#include <boost/asio/thread_pool.hpp>
#include <nlohmann/json.hpp>

namespace Galenahill {

class ControlService::Private
{
public:
    explicit Private(Options given)
        : options(std::move(given))
        , methods({.state = options.state, .repository = options.repository, .revisionAccepted = options.revisionAccepted})
    {
    }

    Options options;
    OperatorMethods methods;
    // Operators' requests block on the store, so they do not run on the thread that
    // serves other nodes.
    asio::thread_pool workers{1};

    std::string status() const;
    NodeGauges gauges() const;
    asio::awaitable<std::string> runRpc(std::string request);
};

ControlService::ControlService(Options options)
    : d(std::make_unique<Private>(std::move(options)))
{
}

ControlService::~ControlService() = default;

std::string ControlService::Private::status() const
{
    const auto members = options.state->members();
    nlohmann::json json;
    if (!members.empty()) {
        const auto &self = members.front();
        json["node"] = self.name.value();
        json["data_centre"] = self.dataCentre.value();
        json["service"] = self.service.value();
        json["state"] = toString(self.state);
        // `state` is that of the target; the ingress may not be able to route calls yet.
        json["accepts_calls"] = options.state->routesCalls && self.state != MemberState::Left;
    }
    const auto current = options.state->revisions.current();
    json["revision"] = current ? current->revision().value() : 0;
    json["digest"] = current ? current->digest.value() : "";
    json["members"] = members.size();
    json["counters"] = nlohmann::json::parse(options.counters());
    return json.dump();
}

NodeGauges ControlService::Private::gauges() const
{
    NodeGauges gauges;
    const auto counters = nlohmann::json::parse(options.counters());
    for (const auto &[name, value] : counters.items()) {
        gauges[name] = value.get<double>();
    }
    const auto members = options.state->members();
    gauges["revision_in_force"] = static_cast<double>(options.state->revisions.revision().value());
    gauges["members_live"]
        = static_cast<double>(std::count_if(members.begin(), members.end(), [](const MemberRecord &member) { return member.state != MemberState::Gone; }));
    return gauges;
}

asio::awaitable<std::string> ControlService::Private::runRpc(std::string request)
{
    co_return methods.handle(request);
}

asio::awaitable<HttpResponse> ControlService::handle(HttpRequest request)
{
    const std::string target(request.target());
    const std::string configPrefix = "/config?base=";
    if (request.method() == http::verb::post && target == "/rpc") {
        auto response = co_await asio::co_spawn(d->workers, d->runRpc(std::move(request.body())), asio::use_awaitable);
        co_return makeResponse(http::status::ok, "application/json", std::move(response));
    }
    if (request.method() == http::verb::get && target.rfind(configPrefix, 0) == 0) {
        co_return d->options.exchange.serve(target.substr(configPrefix.size()));
    }
    if (request.method() == http::verb::get && target == "/members") {
        co_return makeResponse(http::status::ok, "application/octet-stream", encode(d->options.state->members()));
    }
    if (request.method() == http::verb::get && target == "/status") {
        co_return makeResponse(http::status::ok, "application/json", d->status());
    }
    if (request.method() == http::verb::get && target == "/burn") {
        co_return makeResponse(http::status::ok, "application/json", reportsToJson(d->options.metrics.report(Clock::now())));
    }
    if (request.method() == http::verb::get && target == "/customers") {
        co_return makeResponse(http::status::ok, "application/json", customerCountsToJson(d->options.customers.report()));
    }
    if (request.method() == http::verb::get && target == "/metrics") {
        co_return makeResponse(http::status::ok,
            "text/plain; version=0.0.4",
            metricsText(d->gauges(), d->options.metrics.report(Clock::now())) + customerMetricsText(d->options.customers.report()));
    }
    co_return makeErrorResponse(
        http::status::not_found, "not-found", "unknown method or path; this port serves /rpc, /config, /members, /status, /burn, /customers and /metrics");
}

void ControlService::stop()
{
    d->workers.join();
}

}
