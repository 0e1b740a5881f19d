#include "cli/burncommand.h"

#include "cli/burnplot.h"
#include "cli/nodeconnection.h"

#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>

namespace Galenahill {

using nlohmann::json;

namespace {

std::string formatTable(const json &report)
{
    std::string text = fmt::format(
        "{:<24} {:>8} {:>10} {:>10} {:>8} {:>8} {:>12} {:>12}", "ROUTE", "MINUTES", "OBJECTIVE", "CALLS", "FAILED", "SLOW", "BURN FAILED", "BURN SLOW");
    for (const auto &route : report.at("routes")) {
        const auto &windows = route.at("windows");
        for (std::size_t i = 0; i < windows.size(); ++i) {
            const auto &window = windows.at(i);
            text += fmt::format("\n{:<24} {:>8} {:>10} {:>10} {:>8} {:>8} {:>12.2f} {:>12.2f}",
                route.at("route").get<std::string>(),
                report.at("windows_minutes").at(i).get<int>(),
                route.at("slo_availability").get<double>() > 0 ? fmt::format("{}%", route.at("slo_availability").get<double>()) : "none",
                window.at("calls").get<std::uint64_t>(),
                window.at("failed").get<std::uint64_t>(),
                window.at("slow").get<std::uint64_t>(),
                window.at("availability_burn").get<double>(),
                window.at("latency_burn").get<double>());
        }
    }
    text += fmt::format("\nreports of {} nodes", report.at("nodes").get<std::size_t>());
    for (const auto &node : report.at("missing")) {
        text += fmt::format("\npartial: no report from {}", node.get<std::string>());
    }
    return text;
}

}

Result<void> burn(const CommandOptions &options)
{
    const auto report = NodeConnection(options.node).call("burn", json::object());
    if (!report) {
        return tl::unexpected(report.error());
    }
    if (!options.plot.empty()) {
        std::ofstream file(options.plot);
        file << burnPlot(*report);
        if (!file.flush()) {
            return failure(ErrorKind::Invalid, options.plot + ": can't be written; give a path in a folder that you may write to");
        }
    }
    fmt::print("{}\n", options.json ? report->dump() : formatTable(*report));
    return {};
}

}
