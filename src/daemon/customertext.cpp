#include "daemon/customertext.h"

#include "common/boundedjson.h"

#include <boost/algorithm/string/replace.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Galenahill {

namespace {

// Names of customers are free text in documents of other systems.
std::string labelValue(const CustomerName &customer)
{
    auto text = boost::replace_all_copy(customer.value(), "\\", "\\\\");
    boost::replace_all(text, "\"", "\\\"");
    return text;
}

void appendCount(std::string &text, const std::string &customer, const char *event, std::uint64_t count)
{
    text += fmt::format("galenahill_customer_calls_total{{customer=\"{}\",event=\"{}\"}} {}\n", customer, event, count);
}

}

std::string customerMetricsText(const CustomerCountReport &report)
{
    if (report.customers.empty() && report.unidentified == 0) {
        return {};
    }
    std::string text = "# TYPE galenahill_customer_calls_total counter\n";
    for (const auto &[name, counts] : report.customers) {
        const auto label = labelValue(name);
        appendCount(text, label, "used", counts.used);
        appendCount(text, label, "rejected-for-limit", counts.rejectedForLimit);
        appendCount(text, label, "unauthorized", counts.unauthorized);
    }
    text += fmt::format("# TYPE galenahill_unidentified_calls_total counter\ngalenahill_unidentified_calls_total {}\n", report.unidentified);
    return text;
}

std::string customerCountsToJson(const CustomerCountReport &report)
{
    auto customers = nlohmann::json::object();
    for (const auto &[name, counts] : report.customers) {
        customers[name.value()] = {counts.used, counts.rejectedForLimit, counts.unauthorized};
    }
    return nlohmann::json{{"customers", customers}, {"unidentified", report.unidentified}}.dump();
}

std::optional<CustomerCountReport> customerCountsFromJson(const std::string &text)
{
    try {
        CustomerCountReport report;
        const auto json = parseJson(text);
        for (const auto &[name, counts] : json.at("customers").items()) {
            report.customers[CustomerName(name)] = {.used = counts.at(0).get<std::uint64_t>(),
                .rejectedForLimit = counts.at(1).get<std::uint64_t>(),
                .unauthorized = counts.at(2).get<std::uint64_t>()};
        }
        report.unidentified = json.at("unidentified").get<std::uint64_t>();
        return report;
    } catch (const std::exception &) {
        // The node runs another version; it counts as one that did not answer.
        return std::nullopt;
    }
}

}
