#pragma once

#include "common/endpoint.h"
#include "common/error.h"
#include "common/identifiers.h"

#include <string>
#include <vector>

namespace Galenahill {

// What the spreading of news weighs more.
enum class GossipPreference {
    // Convergence time.
    Time,
    // Control bytes.
    Bytes,
};

// A node's settings, read once at start.
struct NodeSettings
{
    NodeName name;
    DataCentre dataCentre;
    std::string address;
    std::uint16_t ingressPort = 0;
    std::uint16_t sidecarPort = 0;
    std::uint16_t controlPort = 0;
    // Time that a planned stop waits for requests in flight.
    Milliseconds drainTimeout{30000};
    std::string logLevel = "info";

    ServiceName service;
    Endpoint target;
    std::string healthPath = "/health";

    Endpoint store;
    Milliseconds storeTimeout{3000};

    // Nodes to join through when the store is out or has no contacts.
    std::vector<Endpoint> seeds;

    // Whether news of a revision go out fast or with few bytes.
    GossipPreference prefer = GossipPreference::Time;
    // Members that each round of news goes to; zero leaves it to `prefer`.
    std::uint32_t fanOut = 0;
    // Members of each data centre that watch the store's head.
    std::uint32_t watchers = 2;
    // Share of datagrams that the node drops before sending, in percent. For
    // experiments with a lossy network only.
    std::uint32_t dropPercent = 0;
    // Lets a harness play cut and lossy links; never set it where callers are
    // served.
    bool linkFaults = false;

    // Reads an INI text. Invalid with one line per fault, each naming
    // section, key and remedy.
    static Result<NodeSettings> parse(const std::string &fileName, const std::string &text);
};

}
