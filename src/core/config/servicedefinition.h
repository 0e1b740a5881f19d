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
    // Calls that one target runs at a time.
    std::uint32_t slots = 1;
    // Connections that one target accepts.
    std::uint32_t connections = 1;
    // Path at which a target says whether it takes calls.
    std::string healthPath = "/health";
};

}
