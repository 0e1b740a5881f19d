#pragma once

#include "childprocess.h"
#include "common/endpoint.h"
#include "common/error.h"
#include "common/identifiers.h"
#include "loadgenerator.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Galenahill {

// What a target stand-in logged of one of its starts, in order. Times are those of the monotonic clock.
struct TargetHistory
{
    struct Event
    {
        std::string value;
        std::chrono::microseconds time{0};
    };

    // Customer that the target was told for a call; empty if none.
    struct ToldCustomer
    {
        std::string call;
        std::string customer;
    };

    // Id of the target, and the index of the node beside it.
    std::string target;
    std::size_t node = 0;
    // Ids of the calls that arrived, also of those that the target rejected.
    std::vector<Event> arrivals;
    // Ids of the calls that ran; an id occurs once for each execution.
    std::vector<Event> executions;
    // Ids of the calls whose run ended with a response, and of those whose connection the node had
    // closed by then.
    std::vector<Event> responses;
    std::vector<Event> cuts;
    // Id of the call that ended the process; empty if none did.
    std::vector<Event> fatalCalls;
    // Rate limits that it stated, as text; "none" if it lifted its limit.
    std::vector<Event> rateLimits;
    // When it stated that it is leaving.
    std::vector<Event> departures;
    std::vector<ToldCustomer> customers;
    // Calls that the target itself sent to the ingress beside it and that ended.
    std::vector<CallRecord> nestedCalls;
    // Ids of the calls in whose header a customer's key reached the target.
    std::vector<Event> leaks;
};

// A fleet of real processes on loopback addresses, set up as on the platform: the stand-in for the
// platform's store, and nodes (galenahillnode) that have a target stand-in each, which announces
// itself to its node.
class PlatformFleet
{
public:
    struct Options
    {
        // Folder with the built programs, and root of the repository.
        std::string programs;
        std::string sources;
        // Folder for settings and logs; deleted and created anew.
        std::string folder;
        // Second octet of all addresses.
        std::uint8_t network = 30;
        std::size_t nodes = 4;
        // Node i serves services[i % services.size()].
        std::vector<std::string> services;
        std::uint32_t slots = 4;
        std::chrono::microseconds serviceTime{20000};
        // Share of the calls that take longer by the factor. Above zero, service times are random with
        // the mean of the other calls as given.
        double lateShare = 0;
        double lateFactor = 10;
        std::uint64_t seed = 1;
        // Node i is in data centre i % dataCentres.
        std::size_t dataCentres = 1;
        // Speed of each VM's link that the nodes' settings state; zero: none.
        std::uint32_t linkMbps = 0;
        // Nodes reach the store and their targets through separate addresses, on which the harness
        // runs proxies.
        bool proxied = false;
        // Each node reaches the store at an address of its own, on which the harness runs a proxy.
        bool storeAddressPerNode = false;
        // Text that each key of a customer contains; empty: targets do not search for keys.
        std::string keyMarker;
        // Path and Host of the calls that targets make through the node beside them, in a share of their own calls.
        std::string nestedPath;
        std::string nestedHost;
        double nestedShare = 0;
        // Text in the path of calls that end the target that runs them; empty: none do.
        std::string fatalMarker;
    };

    explicit PlatformFleet(Options options);
    ~PlatformFleet();

    // Starts the store, the targets and the nodes, writes the first configuration, and waits until
    // every node accepts calls.
    Result<void> start(const std::string &configuration);

    // Writes the configuration document to the store, as the operator does.
    Result<void> configure(const std::string &configuration);

    std::size_t size() const;
    Endpoint store() const;
    Endpoint ingress(std::size_t node) const;
    Endpoint target(std::size_t node) const;

    // Index of the node beside the target with that id; not set if there is none.
    static std::optional<std::size_t> nodeOfTarget(const std::string &id);

    // Addresses at which the nodes reach the store, and a node its target.
    Endpoint storeForNodes() const;
    Endpoint storeForNode(std::size_t node) const;
    Endpoint targetForNode(std::size_t node) const;

    // Whether the readiness endpoint of the node reports ready.
    bool isReady(std::size_t node) const;
    bool waitUntilReady(Milliseconds limit) const;

    void startStore();
    void startNode(std::size_t node);
    void startTarget(std::size_t node);
    ChildProcess &storeProcess();
    ChildProcess &nodeProcess(std::size_t node);
    ChildProcess &targetProcess(std::size_t node);

    // The nodes that watch the store, by their logs.
    std::vector<std::size_t> watchers() const;

    // Path of the node's log file, which contains the output of all its starts.
    std::string nodeLog(std::size_t node) const;

    // Sends the target stand-in an instruction, as described at its /admin endpoint.
    bool instructTarget(std::size_t node, const std::string &json) const;

    // Histories of all starts of all targets.
    std::vector<TargetHistory> targetHistories() const;

    // Calls that the targets made, as these saw them.
    std::vector<CallRecord> nestedCalls() const;

    // Ids of the calls that the targets ran; an id occurs once for each execution.
    std::vector<std::string> executedCalls() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
