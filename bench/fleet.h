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

// A call that a target ran, written to its ledger when the call started. The time is from the
// monotonic clock that all processes of one machine share.
struct LedgerEntry
{
    std::string call;
    std::size_t node = 0;
    TimePoint time;
};

// A fleet of real processes on loopback addresses: the platform stand-in, and nodes (galenahilld)
// that have a target stand-in each.
class Fleet
{
public:
    struct Service
    {
        std::string name;
        std::uint32_t slots = 6;
        std::uint32_t serviceMicroseconds = 2000;
        std::uint32_t coldStartMs = 0;
        // Maximum number of calls that wait for a slot at a target; it rejects further ones.
        std::uint32_t backlog = 0;
    };

    struct Options
    {
        // Folder with the built programs.
        std::string programs;
        // Folder for settings and logs; created if missing.
        std::string folder;
        // Second octet of all addresses, so that two fleets can run at once. Defaults to
        // $GALENAHILL_TEST_NETWORK, or 20 if that is unset.
        std::uint8_t network = defaultNetwork();
        std::size_t nodes = 8;
        std::vector<std::string> dataCentres;
        // Node i serves services[(i / dataCentres.size()) % services.size()].
        std::vector<Service> services;
        // False starts no targets, for runs that make no calls.
        bool targets = true;
        // Targets write each call that they run to their log, so that the ledger of a killed target
        // isn't lost.
        bool logRuns = false;
        // Text in the path of calls that end the target that runs them; empty: none do.
        std::string fatalMarker;
        // Additional lines for each node's settings file.
        std::string settings;
    };

    explicit Fleet(Options options);
    ~Fleet();

    // Starts all processes and waits until each node knows all members and, if targets are started,
    // is ready.
    Result<void> start();

    std::size_t size() const;

    // Number of data centres. Node i is in data centre i modulo this number.
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

    // Null before the process was first started.
    ChildProcess *nodeProcess(std::size_t node);
    ChildProcess *targetProcess(std::size_t node);
    ChildProcess *platformProcess();

    // Returns the calls that the targets ran, read from their logs. They are ordered for each node,
    // but not across nodes.
    std::vector<LedgerEntry> loggedRuns() const;

    // Requests the status on a node's control port; empty if the node doesn't respond.
    std::optional<nlohmann::json> status(std::size_t node) const;

    // Polls the status of all running nodes in parallel, once per step, until each has satisfied the
    // predicate. Returns the time waited, or nothing once the limit has passed.
    std::optional<Milliseconds> waitForAll(
        const std::function<bool(const nlohmann::json &)> &predicate, Milliseconds limit, Milliseconds step = Milliseconds(5));

    // Sends SIGTERM to all nodes, waits for them, then kills the targets and the platform
    // stand-in. Returns the number of nodes that didn't exit with code 0.
    std::size_t stop();

    static std::uint8_t defaultNetwork();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
