#include "cli/customerscommand.h"

#include "cli/nodeconnection.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Galenahill {

using nlohmann::json;

namespace {

std::string customerLine(const json &customer)
{
    const auto rate = customer.at("rate_per_s").get<double>();
    const bool limited = rate > 0;
    return fmt::format("\n{:<24} {:>10} {:>10} {:>8} {:>6} {:>12} {:>12} {:>12}",
        customer.at("customer").get<std::string>(),
        limited ? fmt::format("{}", rate) : "none",
        limited ? fmt::format("{}", customer.at("burst").get<double>()) : "-",
        customer.contains("priority") ? std::to_string(customer.at("priority").get<std::uint32_t>()) : "route",
        customer.at("keys").get<std::size_t>(),
        customer.at("used").get<std::uint64_t>(),
        customer.at("rejected_for_limit").get<std::uint64_t>(),
        customer.at("unauthorized").get<std::uint64_t>());
}

std::string formatTable(const json &report)
{
    std::string text = fmt::format(
        "{:<24} {:>10} {:>10} {:>8} {:>6} {:>12} {:>12} {:>12}", "CUSTOMER", "LIMIT/S", "BURST", "PRIORITY", "KEYS", "USED", "REJECTED", "UNAUTHORIZED");
    for (const auto &customer : report.at("customers")) {
        text += customerLine(customer);
    }
    if (!report.at("requires_keys").get<bool>()) {
        text += "\nno customers; calls need no key";
    }
    text += fmt::format("\ncalls whose key is missing or unknown: {}", report.at("unidentified").get<std::uint64_t>());
    const auto asked = report.at("asked").get<std::size_t>();
    const auto answered = report.at("answered").get<std::size_t>();
    text += answered == asked ? fmt::format("\nall {} nodes answered", asked)
                              : fmt::format("\n{} of {} nodes answered; this is a partial view", answered, asked);
    if (answered > 0) {
        text += fmt::format("; the oldest answer is {} ms old", report.at("oldest_answer_ms").get<std::int64_t>());
    }
    return text;
}

}

Result<void> customers(const CommandOptions &options)
{
    const auto report = NodeConnection(options.node).call("customers", json::object());
    if (!report) {
        return tl::unexpected(report.error());
    }
    fmt::print("{}\n", options.json ? report->dump() : formatTable(*report));
    return {};
}

}
