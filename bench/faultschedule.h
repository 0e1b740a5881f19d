#pragma once

#include "common/identifiers.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Galenahill {

// A fault to play: what, when and at which nodes. Times count from the begin
// of the schedule.
struct PlannedFault
{
    std::string kind;
    Milliseconds begin{0};
    Milliseconds end{0};
    std::vector<std::size_t> nodes;
};

// The faults of one seed: rounds of one or two faults at once, some of them
// twice in a row. Faults of one moment touch different nodes, or one of them
// the platform. No round begins after the length. The same
// seed gives the same schedule.
std::vector<PlannedFault> scheduleFaults(std::uint64_t seed, std::size_t nodes, std::size_t dataCentres, Milliseconds length);

}
