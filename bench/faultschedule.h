#pragma once

#include "common/identifiers.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Galenahill {

// A fault to inject: kind, nodes, and times relative to the start of the schedule.
struct PlannedFault
{
    std::string kind;
    Milliseconds begin{0};
    Milliseconds end{0};
    std::vector<std::size_t> nodes;
};

// Returns the schedule that belongs to the seed: rounds of one fault, of one fault that is repeated,
// or of two faults at once, of which exactly one affects the platform. Other concurrent faults affect
// different nodes. No round begins after the length. The same seed always gives the same schedule.
std::vector<PlannedFault> scheduleFaults(std::uint64_t seed, std::size_t nodes, std::size_t dataCentres, Milliseconds length);

}
