#include "daemon/operatormethods.h"

#include "adapters/rpc/rpcserver.h"
#include "common/boundedjson.h"
#include "core/calls/burnreport.h"
#include "core/config/keyredaction.h"
#include "core/config/nearestname.h"
#include "daemon/customertext.h"
#include "daemon/fleetquery.h"
#include "daemon/metricstext.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Galenahill {

using nlohmann::json;

namespace {

constexpr Milliseconds StatusTimeout{2000};

json toJson(const AppliedChange &change)
{
    return {{"apply", change.id.value()},
        {"revision", change.revision.value()},
        {"file", change.file.value()},
        {"operator", change.operatorName},
        {"time", change.time},
        {"removed", change.removed}};
}

json toJson(const CustomerDefinition &customer, const CustomerCounts &counts)
{
    json result = {{"customer", customer.name.value()},
        {"rate_per_s", customer.limit.ratePerSecond},
        {"burst", customer.limit.burst},
        {"keys", customer.keys.size()},
        {"used", counts.used},
        {"rejected_for_limit", counts.rejectedForLimit},
        {"unauthorized", counts.unauthorized}};
    if (customer.priority) {
        result["priority"] = *customer.priority;
    }
    return result;
}

json toJson(const BurnReport &report)
{
    json result = {{"nodes", report.nodes()}, {"missing", json::array()}, {"windows_minutes", json::array()}, {"routes", json::array()}};
    for (const auto &node : report.missing()) {
        result["missing"].push_back(node.value());
    }
    for (const auto window : ServiceLevelMetrics::Windows) {
        result["windows_minutes"].push_back(window.count());
    }
    for (const auto &[name, burn] : report.routes()) {
        auto windows = json::array();
        for (std::size_t i = 0; i < burn.windows.size(); ++i) {
            const auto &counts = burn.windows[i];
            windows.push_back({{"calls", counts.calls},
                {"failed", counts.failed},
                {"slow", counts.slow},
                {"availability_burn", burn.availabilityBurn(i)},
                {"latency_burn", burn.latencyBurn(i)}});
        }
        result["routes"].push_back(
            {{"route", name.value()}, {"slo_availability", burn.sloAvailability}, {"slo_latency_ms", burn.sloLatency.count()}, {"windows", windows}});
    }
    return result;
}

}

class OperatorMethods::Private
{
public:
    explicit Private(Options given)
        : options(std::move(given))
        , rpc(methods())
    {
    }

    Options options;
    RpcServer rpc;

    std::map<std::string, RpcServer::Method> methods();
    Result<json> apply(const json &params);
    Result<json> check(const json &params);
    Result<json> show(const json &params);
    Result<json> status();
    Result<json> revision();
    Result<json> outcome(const json &params);
    Result<json> history();
    Result<json> burn();
    Result<json> customers();
};

OperatorMethods::OperatorMethods(Options options)
    : d(std::make_unique<Private>(std::move(options)))
{
}

OperatorMethods::~OperatorMethods() = default;

std::string OperatorMethods::handle(const std::string &request)
{
    return d->rpc.handle(request);
}

std::map<std::string, RpcServer::Method> OperatorMethods::Private::methods()
{
    // Reports params with a missing key or a value of another type as Invalid.
    const auto wrap = [](auto method) -> RpcServer::Method {
        return [method](const std::string &params) -> Result<std::string> {
            try {
                const auto result = method(json::parse(params));
                if (!result) {
                    return tl::unexpected(result.error());
                }
                return result->dump();
            } catch (const json::exception &error) {
                return failure(ErrorKind::Invalid, std::string("params: ") + error.what() + "; use a galenahillctl of the node's version");
            }
        };
    };
    return {
        {"apply", wrap([this](const json &params) { return apply(params); })},
        {"check", wrap([this](const json &params) { return check(params); })},
        {"show", wrap([this](const json &params) { return show(params); })},
        {"revision", wrap([this](const json &) { return revision(); })},
        {"status", wrap([this](const json &) { return status(); })},
        {"outcome", wrap([this](const json &params) { return outcome(params); })},
        {"history", wrap([this](const json &) { return history(); })},
        {"burn", wrap([this](const json &) { return burn(); })},
        {"customers", wrap([this](const json &) { return customers(); })},
    };
}

Result<json> OperatorMethods::Private::apply(const json &params)
{
    ApplyRequest request;
    request.id = ApplyId(params.at("apply").get<std::string>());
    request.file = FileName(params.at("file").get<std::string>());
    request.remove = params.value("remove", false);
    request.text = params.value("text", "");
    request.operatorName = params.at("operator").get<std::string>();
    request.basedOn = ContentHash(params.value("based_on", ""));
    if (params.contains("begun_at")) {
        request.begunAt = Revision(params.at("begun_at").get<std::uint64_t>());
    }
    request.isRetry = params.value("repeated", false);
    const auto outcome = options.repository.apply(request);
    if (!outcome) {
        return tl::unexpected(outcome.error());
    }
    if (outcome->accepted) {
        options.revisionAccepted(outcome->accepted);
    }
    json result = {{"revision", outcome->revision.value()}, {"changed", outcome->changed}, {"left_out", json::array()}};
    for (const auto &change : outcome->leftOut) {
        result["left_out"].push_back(toJson(change));
    }
    return result;
}

Result<json> OperatorMethods::Private::check(const json &params)
{
    const auto snapshot = options.repository.check({FileName(params.at("file").get<std::string>()), params.at("text").get<std::string>()});
    if (!snapshot) {
        return tl::unexpected(snapshot.error());
    }
    return json{{"services", (*snapshot)->services().size()}, {"routes", (*snapshot)->routes().size()}};
}

Result<json> OperatorMethods::Private::show(const json &params)
{
    const auto current = options.state->revisions.current();
    if (!current) {
        return failure(ErrorKind::NotFound, "no configuration is in force; apply a file first");
    }
    const Revision revision(params.value("revision", current->revision().value()));
    const auto bundle = revision == current->revision() ? Result<ConfigBundle>(current->bundle) : options.repository.earlier(revision);
    if (!bundle) {
        return tl::unexpected(bundle.error());
    }
    const auto wanted = params.value("file", "");
    json result = {{"revision", bundle->manifest.revision.value()}, {"files", json::array()}};
    std::vector<std::string> names;
    for (const auto &file : bundle->files) {
        names.push_back(file.name.value());
        if (wanted.empty() || wanted == file.name.value()) {
            result["files"].push_back({{"name", file.name.value()}, {"text", redactKeys(file.text)}, {"hash", bundle->manifest.files.at(file.name).value()}});
        }
    }
    if (!wanted.empty() && result["files"].empty()) {
        return failure(ErrorKind::NotFound, wanted + ": no such file" + suggestion(wanted, names) + "; 'galenahillctl show' lists the files");
    }
    return result;
}

Result<json> OperatorMethods::Private::status()
{
    json nodes = json::array();
    std::size_t queried = 0;
    std::size_t responded = 0;
    for (const auto &[member, body, received] : queryFleet(options.state->members(), "/status", StatusTimeout)) {
        json node = {
            {"node", member.name.value()}, {"data_centre", member.dataCentre.value()}, {"service", member.service.value()}, {"state", toString(member.state)}};
        // A node of another version may respond in another format; that must not hide
        // the other nodes' status.
        const auto status = parseJsonOrNull(body.value_or(""));
        const bool readable = status.is_object() && status.contains("revision");
        if (readable) {
            node["revision"] = status["revision"];
        }
        node["answered"] = readable;
        queried += member.state != MemberState::Gone ? 1 : 0;
        responded += readable ? 1 : 0;
        nodes.push_back(std::move(node));
    }
    return json{{"revision", options.state->revisions.revision().value()}, {"asked", queried}, {"answered", responded}, {"nodes", nodes}};
}

Result<json> OperatorMethods::Private::revision()
{
    return json{{"revision", options.state->revisions.revision().value()}};
}

Result<json> OperatorMethods::Private::outcome(const json &params)
{
    const auto change = options.repository.outcome(ApplyId(params.at("apply").get<std::string>()));
    if (!change) {
        return tl::unexpected(change.error());
    }
    return toJson(*change);
}

Result<json> OperatorMethods::Private::burn()
{
    BurnReport report;
    for (const auto &response : queryFleet(options.state->members(), "/burn", StatusTimeout)) {
        if (response.body) {
            report.add(reportsFromJson(*response.body));
        } else if (response.member.state != MemberState::Gone) {
            report.addMissing(response.member.name);
        }
    }
    return toJson(report);
}

Result<json> OperatorMethods::Private::customers()
{
    CustomerCountReport total;
    std::size_t asked = 0;
    std::size_t answered = 0;
    auto oldest = TimePoint::max();
    for (const auto &response : queryFleet(options.state->members(), "/customers", StatusTimeout)) {
        asked += response.member.state != MemberState::Gone ? 1 : 0;
        if (const auto counts = customerCountsFromJson(response.body.value_or(""))) {
            total.add(*counts);
            oldest = std::min(oldest, response.received);
            ++answered;
        }
    }
    const auto current = options.state->revisions.current();
    json result = {{"revision", options.state->revisions.revision().value()},
        {"requires_keys", current && current->snapshot->requiresKeys()},
        {"asked", asked},
        {"answered", answered},
        {"unidentified", total.unidentified},
        {"customers", json::array()}};
    if (answered > 0) {
        result["oldest_answer_ms"] = std::chrono::duration_cast<Milliseconds>(Clock::now() - oldest).count();
    }
    if (current) {
        for (const auto &customer : current->snapshot->customers()) {
            result["customers"].push_back(toJson(customer, total.customers[customer.name]));
        }
    }
    return result;
}

Result<json> OperatorMethods::Private::history()
{
    json changes = json::array();
    if (const auto current = options.state->revisions.current()) {
        for (const auto &change : current->bundle.manifest.changes) {
            changes.push_back(toJson(change));
        }
    }
    return json{{"changes", changes}};
}

}
