#pragma once

#include "common/endpoint.h"
#include "common/identifiers.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace Galenahill {

// Command line options of the target stand-in.
struct TargetOptions
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 9000;
    std::uint32_t slots = 6;
    std::chrono::microseconds serviceTime{2000};
    // Share of the calls that take longer by the factor; above zero, service times are random.
    double lateShare = 0;
    double lateFactor = 10;
    std::uint64_t seed = 1;
    Milliseconds coldStart{0};
    // Maximum number of calls that wait for a slot.
    std::uint32_t backlog = 0;
    std::uint32_t connections = 4096;
    bool logRuns = false;
    // Registration endpoint of the node; port zero if the target does not announce itself.
    Endpoint registration;
    // Address that the target announces.
    Endpoint announcedAs;
    std::string heartbeatSample;
    std::string id;
    std::string service;
    std::string dataCentre;
    std::string keyMarker;
    // Ingress through which the target calls another service; port zero if it calls none.
    Endpoint nestedThrough;
    std::string nestedHost;
    std::string nestedPath;
    // Share of the calls that make a nested one.
    double nestedShare = 0;
    // Text in the path of calls that end the process; empty: none do.
    std::string fatalMarker;

    bool announces() const
    {
        return registration.port != 0;
    }
};

// Returns nothing if an option is invalid, after a message on standard error.
std::optional<TargetOptions> parseTargetOptions(int argc, const char **argv);

}
