#pragma once

#include "common/endpoint.h"
#include "common/error.h"
#include "common/identifiers.h"

#include <string>
#include <vector>

namespace Galenahill {

// Priority of gossip: fast convergence or few bytes.
enum class GossipPreference {
    // Convergence time.
    Time,
    // Control bytes.
    Bytes,
};

// Settings of a node, read once at start.
struct NodeSettings
{
    NodeName name;
    DataCentre dataCentre;
    std::string address;
    std::uint16_t ingressPort = 0;
    std::uint16_t sidecarPort = 0;
    std::uint16_t controlPort = 0;
    // Time that a planned stop waits for calls in flight.
    Milliseconds drainTimeout{30000};
    std::string logLevel = "info";

    ServiceName service;
    Endpoint target;
    std::string healthPath = "/health";

    Endpoint store;
    Milliseconds storeTimeout{3000};

    // Nodes to join through when the store is unavailable or lists no contacts.
    std::vector<Endpoint> seeds;

    // Whether updates about a revision are sent fast or with few bytes.
    GossipPreference prefer = GossipPreference::Time;
    // Members that each gossip round sends updates to; zero: chosen by `prefer`.
    std::uint32_t fanOut = 0;
    // Members of each data centre that watch the store's head.
    std::uint32_t watchers = 2;
    // Percentage of datagrams that the node drops before sending. Only for experiments with a lossy
    // network.
    std::uint32_t dropPercent = 0;
    // Lets a test harness simulate broken and lossy links; never enable it in production.
    bool linkFaults = false;

    // Parses an INI text. Invalid with one line per error, each naming section, key and remedy.
    static Result<NodeSettings> parse(const std::string &fileName, const std::string &text);
};

}
