#pragma once

#include "common/identifiers.h"
#include "core/customers/keydigest.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Galenahill {

// How many calls of a customer all nodes together run.
struct CustomerLimit
{
    // Calls per second; zero: no limit.
    double ratePerSecond = 0;
    // Calls beyond the rate that may come at once.
    double burst = 0;

    bool limited() const
    {
        return ratePerSecond > 0;
    }

    friend bool operator==(const CustomerLimit &, const CustomerLimit &) = default;
};

// A [customer] section after validation.
struct CustomerDefinition
{
    CustomerName name;
    FileName file;
    std::vector<KeyDigest> keys;
    // Overrides the priority of the route; zero is served first.
    std::optional<std::uint32_t> priority;
    CustomerLimit limit;
    // What is wrong with keys that are therefore not among `keys`; empty after validation.
    std::vector<std::string> keyFaults;
};

}
