#pragma once

#include "childprocess.h"
#include "common/endpoint.h"
#include "common/error.h"
#include "common/identifiers.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace Galenahill {

// One execution that a target wrote into its ledger as it began, by the steady
// clock that all processes of one machine share.
struct LedgerEntry
{
    std::string call;
    std::size_t node = 0;
    TimePoint time;
};

// A fleet of real processes on loopback addresses: the platform stand-in, and
// nodes with a target stand-in beside each.
class Fleet
{
public:
    struct Service
    {
        std::string name;
        std::uint32_t slots = 6;
        std::uint32_t serviceMicroseconds = 2000;
        std::uint32_t coldStartMs = 0;
        // Calls that a target lets wait for a slot; beyond them it refuses.
        std::uint32_t backlog = 0;
    };

    struct Options
    {
        // Folder with the built programs.
        std::string programs;
        // Folder for settings and logs; made if missing.
        std::string folder;
        // Second number of all addresses, so that two fleets can run at once;
        // by default $GALENAHILL_TEST_NETWORK, else 20.
        std::uint8_t network = defaultNetwork();
        std::size_t nodes = 8;
        std::vector<std::string> dataCentres;
        // Node i serves services[i % services.size()].
        std::vector<Service> services;
        // False leaves the targets out, for runs that make no calls.
        bool targets = true;
        // Targets write each execution to their log, so that a killed one's
        // ledger isn't lost.
        bool logRuns = false;
        // Further lines of each node's settings.
        std::string settings;
    };

    explicit Fleet(Options options);
    ~Fleet();

    // Starts all and waits until each node knows all members.
    Result<void> start();

    std::size_t size() const;

    // Number of data centres; node i is in number i modulo this.
    std::size_t dataCentres() const;
    Endpoint platform() const;
    Endpoint ingress(std::size_t node) const;
    Endpoint sidecar(std::size_t node) const;
    Endpoint control(std::size_t node) const;
    Endpoint target(std::size_t node) const;
    const Service &service(std::size_t node) const;

    void startPlatform();
    void startNode(std::size_t node);
    void startTarget(std::size_t node);

    // Null before the start.
    ChildProcess *nodeProcess(std::size_t node);
    ChildProcess *targetProcess(std::size_t node);
    ChildProcess *platformProcess();

    // The executions that targets wrote to their logs as call id, node and
    // time, in no order over nodes.
    std::vector<LedgerEntry> loggedRuns() const;

    // Status of a node as it answers on its control port, or nothing.
    std::optional<nlohmann::json> status(std::size_t node) const;

    // Waits until the predicate holds for the status of each running node;
    // gives the time waited, or nothing after the limit. Nodes are asked in
    // parallel once per polling step.
    std::optional<Milliseconds> waitForAll(
        const std::function<bool(const nlohmann::json &)> &predicate, Milliseconds limit, Milliseconds step = Milliseconds(5));

    // Sends SIGTERM to all nodes, waits for them, then ends the rest. Gives
    // the number of nodes that didn't exit with 0.
    std::size_t stop();

    static std::uint8_t defaultNetwork();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
