#pragma once

#include "common/endpoint.h"
#include "common/error.h"
#include "common/identifiers.h"

#include <string>
#include <vector>

namespace Galenahill {

// Settings of a node whose configuration is one document in the platform's
// store and whose target announces itself.
struct PlatformNodeSettings
{
    NodeName name;
    DataCentre dataCentre;
    // Service of the target beside the node, and of the callers on its VM.
    ServiceName service;
    // Whether the whole fleet starts for the first time.
    bool firstStart = false;
    std::string logLevel = "info";
    // Speed of the VM's link; zero: not known.
    std::uint32_t linkMbps = 0;

    // Where callers send calls, where other nodes pass them on to this one's
    // target, where the target announces itself, and where the platform asks
    // whether this node takes calls.
    Endpoint ingress;
    Endpoint sidecar;
    Endpoint registration;
    Endpoint readiness;
    // Where other nodes reach this one, by TCP and UDP.
    Endpoint peers;
    // Where metrics are read; port zero: only at `peers`.
    Endpoint metrics;

    Endpoint target;
    // Time between two announcements of the target.
    Milliseconds heartbeatInterval{1000};

    Endpoint store;
    // Control addresses of nodes to join through while the store is out.
    std::vector<Endpoint> seeds;

    // Time that a planned stop may take.
    Milliseconds stopTimeout{6000};
    // Repeats of calls that the fleet may send to a service: a share of its
    // calls, and so many more in a window.
    double repeatShare = 0.1;
    double repeatSlack = 20;
    // Share of a service's calls that a version which turns out bad may get in the
    // time of its rollout.
    double rolloutExposure = 0.1;
    // Time between two reports of the targets' load to other nodes; zero: none.
    Milliseconds loadReportInterval{100};

    // Reads an INI text. Invalid with one line per fault, each naming
    // section, key and remedy.
    static Result<PlatformNodeSettings> parse(const std::string &fileName, const std::string &text);
};

}
