#pragma once

#include "fleet.h"
#include "loadgenerator.h"
#include "platform/callheadernames.h"
#include "platformfleet.h"
#include "sampledocument.h"
#include "statementchecks.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <functional>
#include <thread>

namespace Galenahill {

// A fleet of real processes whose targets state rate limits and departures in their responses.
struct StatementFixture
{
    static constexpr const char *Host = "pedidos.example";
    static constexpr Milliseconds StartLimit{15000};
    static constexpr Milliseconds CallTimeout{2500};

    static std::string argument(int index)
    {
        const auto &suite = boost::unit_test::framework::master_test_suite();
        BOOST_REQUIRE_MESSAGE(suite.argc > index, "give the build folder and the sources after --");
        return suite.argv[index];
    }

    StatementFixture(std::uint8_t network, std::size_t nodes, const std::string &folder)
        : fleet({.programs = argument(1),
            .sources = argument(2),
            .folder = argument(1) + "/" + folder,
            .network = static_cast<std::uint8_t>(Fleet::defaultNetwork() + network),
            .nodes = nodes,
            .services = {"ventas"}})
    {
        const std::vector<SampleRoute> routes = {{.name = "cola", .service = "ventas"}, {.name = "orden", .service = "ventas", .idempotent = false}};
        const auto started = fleet.start(sampleDocument(argument(2), 1, Host, routes));
        BOOST_REQUIRE_MESSAGE(started.has_value(), started.error().message);
        // A ready node learns of the targets only with their next announcements.
        const auto until = Clock::now() + StartLimit;
        for (int round = 0; !allAnswered(call(20, 20, fmt::format("first-{}", round))); ++round) {
            BOOST_REQUIRE(Clock::now() < until);
        }
    }

    static bool allAnswered(const std::vector<CallRecord> &records)
    {
        return countOf(records, CallOutcome::Answered) == static_cast<std::ptrdiff_t>(records.size());
    }

    static std::ptrdiff_t countOf(const std::vector<CallRecord> &records, CallOutcome outcome)
    {
        return std::count_if(records.begin(), records.end(), [&](const auto &record) { return record.outcome == outcome; });
    }

    std::vector<CallRecord> call(double rate, std::size_t calls, const std::string &prefix) const
    {
        LoadGenerator::Options load;
        for (std::size_t node = 0; node < fleet.size(); ++node) {
            load.ingresses.push_back(fleet.ingress(node));
        }
        load.kinds = {{.method = "GET", .path = "/cola/1"}, {.method = "POST", .path = "/orden/1", .idempotent = false}};
        load.rate = rate;
        load.calls = calls;
        load.timeout = CallTimeout;
        load.idPrefix = prefix;
        load.headerNames = Platform::callHeaderNames();
        load.host = Host;
        return LoadGenerator(load).run();
    }

    // Sends calls for the time, and performs the action after the given part of it.
    std::vector<CallRecord> callWhile(double rate, Milliseconds time, Milliseconds actionAfter, const std::function<void()> &action)
    {
        std::thread actor([&] {
            std::this_thread::sleep_for(actionAfter);
            action();
        });
        auto records = call(rate, static_cast<std::size_t>(rate * static_cast<double>(time.count()) / 1000), fmt::format("load-{}", nextLoad++));
        actor.join();
        return records;
    }

    void stateRateLimit(std::size_t node, const std::string &limit) const
    {
        BOOST_REQUIRE(fleet.instructTarget(node, fmt::format(R"({{"rate_limit": "{}"}})", limit)));
    }

    void stateLeaving(std::size_t node) const
    {
        BOOST_REQUIRE(fleet.instructTarget(node, R"({"leaving": true})"));
    }

    // Descriptions of all violations, one per line.
    static std::string joined(const std::vector<std::string> &violations)
    {
        return fmt::format("{}", fmt::join(violations, "\n"));
    }

    PlatformFleet fleet;
    int nextLoad = 0;
};

}
