#pragma once

#include "childprocess.h"
#include "common/endpoint.h"
#include "common/error.h"
#include "common/identifiers.h"

#include <memory>
#include <string>
#include <vector>

namespace Galenahill {

// A fleet as the users' platform runs it, of real processes on loopback addresses:
// the store's stand-in, and nodes (galenahillnode) with a target stand-in beside
// each, which announces itself.
class PlatformFleet
{
public:
    struct Options
    {
        // Folder with the built programs, and the repository's root.
        std::string programs;
        std::string sources;
        // Folder for settings and logs; made if missing, emptied of both.
        std::string folder;
        // Second number of all addresses.
        std::uint8_t network = 30;
        std::size_t nodes = 4;
        // Node i serves services[i % services.size()].
        std::vector<std::string> services;
        std::uint32_t slots = 4;
        std::chrono::microseconds serviceTime{20000};
        // Nodes reach store and targets at addresses of their own, where the
        // harness relays to them.
        bool proxied = false;
    };

    explicit PlatformFleet(Options options);
    ~PlatformFleet();

    // Starts the store, the targets and the nodes, and gives them their first
    // configuration; waits until every node takes calls.
    Result<void> start(const std::string &configuration);

    // Writes the configuration document into the store, as the operator does.
    Result<void> configure(const std::string &configuration);

    std::size_t size() const;
    Endpoint store() const;
    Endpoint ingress(std::size_t node) const;
    Endpoint target(std::size_t node) const;

    // Where nodes reach the store, and a node its target.
    Endpoint storeForNodes() const;
    Endpoint targetForNode(std::size_t node) const;

    // Whether the node says that it is ready.
    bool ready(std::size_t node) const;
    bool waitUntilReady(Milliseconds limit) const;

    void startStore();
    void startNode(std::size_t node);
    void startTarget(std::size_t node);
    ChildProcess &storeProcess();
    ChildProcess &nodeProcess(std::size_t node);
    ChildProcess &targetProcess(std::size_t node);

    // The log that the node wrote, over all its starts.
    std::string nodeLog(std::size_t node) const;

    // Ids of the calls that the targets ran, once for each time.
    std::vector<std::string> runs() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
