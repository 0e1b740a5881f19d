#pragma once

#include "common/identifiers.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Galenahill {

// A [service] section after validation.
struct ServiceDefinition
{
    ServiceName name;
    FileName file;
    std::vector<DataCentre> dataCentres;
    // Number of calls that one target runs concurrently.
    std::uint32_t slots = 1;
    // Number of connections that one target accepts.
    std::uint32_t connections = 1;
    // Path of the target's health check.
    std::string healthPath = "/health";
};

}
