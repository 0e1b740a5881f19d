#pragma once

#include "common/endpoint.h"
#include "common/error.h"
#include "common/identifiers.h"

#include <string>
#include <vector>

namespace Galenahill {

// Settings of a node whose configuration is one document in the platform's store and whose target
// registers itself.
struct PlatformNodeSettings
{
    NodeName name;
    DataCentre dataCentre;
    // Service of the target beside the node, and of the callers on its VM.
    ServiceName service;
    // Whether the whole fleet is started for the first time.
    bool firstStart = false;
    std::string logLevel = "info";
    // Bandwidth of the VM's link; zero: unknown.
    std::uint32_t linkMbps = 0;

    // Addresses at which callers send calls, other nodes forward calls to the local target, the
    // target registers itself, and the platform probes whether this node is ready.
    Endpoint ingress;
    Endpoint sidecar;
    Endpoint registration;
    Endpoint readiness;
    // Address at which other nodes reach this one, by TCP and UDP.
    Endpoint peers;
    // Address of the metrics; port zero: served at `peers` only.
    Endpoint metrics;

    Endpoint target;
    // Interval of the target's heartbeats.
    Milliseconds heartbeatInterval{1000};

    Endpoint store;
    // Control addresses of nodes to join through while the store is unavailable.
    std::vector<Endpoint> seeds;

    // Maximum duration of a planned stop.
    Milliseconds stopTimeout{6000};
    // Retry budget of the fleet for each service: a share of its calls, plus a fixed number per
    // window.
    double retryShare = 0.1;
    double retrySlack = 20;
    Milliseconds retryWindow{10000};
    // Largest share of a service's calls that a bad version may get during its rollout.
    double rolloutExposure = 0.1;
    // Interval of the reports of the targets' load to other nodes; zero: no reports.
    Milliseconds loadReportInterval{100};

    // Parses an INI text. Invalid with one line per error, each naming section, key and remedy.
    static Result<PlatformNodeSettings> parse(const std::string &fileName, const std::string &text);
};

}
