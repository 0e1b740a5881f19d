#pragma once

#include "common/identifiers.h"
#include "fleet.h"

namespace Galenahill {

// CPU time and memory of a fleet's nodes as reported by the kernel.
struct ProcessUsage
{
    double cpuSeconds = 0;
    double largestRssMb = 0;
    TimePoint at;
};

// Returns the total CPU time of the running nodes and the largest memory of a single one. Targets and
// the platform stand-in are not included.
ProcessUsage processUsage(Fleet &fleet);

}
