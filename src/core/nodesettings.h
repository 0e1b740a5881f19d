#pragma once

#include "common/endpoint.h"
#include "common/error.h"
#include "common/identifiers.h"

#include <string>
#include <vector>

namespace Galenahill {

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

    // Lets a harness play cut and lossy links; never set it where callers are
    // served.
    bool linkFaults = false;

    // Reads an INI text. Invalid with one line per fault, each naming
    // section, key and remedy.
    static Result<NodeSettings> parse(const std::string &fileName, const std::string &text);
};

}
