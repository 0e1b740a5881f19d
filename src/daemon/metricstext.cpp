#include "daemon/metricstext.h"

#include "common/boundedjson.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Galenahill {

namespace {

void appendRoute(std::string &text, const RouteReport &report)
{
    const auto &route = report.route.value();
    for (std::size_t result = 0; result < CallResultKinds; ++result) {
        text += fmt::format("galenahill_calls_total{{route=\"{}\",type=\"{}\",end=\"{}\"}} {}\n",
            route,
            toString(report.type),
            toString(static_cast<CallResult>(result)),
            report.results[result]);
    }
}

void appendLatency(std::string &text, const RouteReport &report)
{
    const auto &route = report.route.value();
    std::uint64_t calls = 0;
    for (const auto count : report.results) {
        calls += count;
    }
    text += fmt::format("galenahill_call_milliseconds{{route=\"{}\",quantile=\"0.5\"}} {:.3f}\n", route, report.latencyP50);
    text += fmt::format("galenahill_call_milliseconds{{route=\"{}\",quantile=\"0.99\"}} {:.3f}\n", route, report.latencyP99);
    text += fmt::format("galenahill_call_milliseconds_sum{{route=\"{}\"}} {:.3f}\n", route, report.latencySum);
    text += fmt::format("galenahill_call_milliseconds_count{{route=\"{}\"}} {}\n", route, calls);
}

}

std::string retryMetricsText(const std::map<ServiceName, RetryBudget::Counts> &counts)
{
    std::string text = "# TYPE galenahill_retry_tokens_total counter\n";
    for (const auto &[service, budget] : counts) {
        for (const auto &[event, count] : {std::pair("taken", budget.taken), std::pair("returned", budget.returned), std::pair("refused", budget.refused)}) {
            text += fmt::format("galenahill_retry_tokens_total{{service=\"{}\",event=\"{}\"}} {}\n", service.value(), event, count);
        }
    }
    return text;
}

std::string metricsText(const NodeGauges &gauges, const std::vector<RouteReport> &routes)
{
    std::string text;
    for (const auto &[name, value] : gauges) {
        text += fmt::format("# TYPE galenahill_{} gauge\ngalenahill_{} {}\n", name, name, value);
    }
    text += "# TYPE galenahill_calls_total counter\n";
    for (const auto &report : routes) {
        appendRoute(text, report);
    }
    text += "# TYPE galenahill_call_milliseconds summary\n";
    for (const auto &report : routes) {
        appendLatency(text, report);
    }
    return text;
}

std::string reportsToJson(const std::vector<RouteReport> &reports)
{
    auto json = nlohmann::json::array();
    for (const auto &report : reports) {
        auto windows = nlohmann::json::array();
        for (const auto &counts : report.windows) {
            windows.push_back({counts.calls, counts.failed, counts.slow});
        }
        json.push_back({{"route", report.route.value()},
            {"slo_availability", report.sloAvailability},
            {"slo_latency_ms", report.sloLatency.count()},
            {"windows", windows}});
    }
    return json.dump();
}

std::vector<RouteReport> reportsFromJson(const std::string &text)
{
    std::vector<RouteReport> reports;
    try {
        for (const auto &entry : parseJson(text)) {
            RouteReport report;
            report.route = RouteName(entry.at("route").get<std::string>());
            report.sloAvailability = entry.at("slo_availability").get<double>();
            report.sloLatency = Milliseconds(entry.at("slo_latency_ms").get<std::int64_t>());
            for (const auto &counts : entry.at("windows")) {
                report.windows.push_back({counts.at(0).get<std::uint64_t>(), counts.at(1).get<std::uint64_t>(), counts.at(2).get<std::uint64_t>()});
            }
            reports.push_back(std::move(report));
        }
    } catch (const std::exception &) {
        // The node runs another version; its reports count as missing.
        return {};
    }
    return reports;
}

}
