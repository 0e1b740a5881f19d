#pragma once

#include "common/identifiers.h"
#include "fleet.h"

namespace Galenahill {

// Processor time and memory of a fleet's nodes as the kernel counts them.
struct ProcessUsage
{
    double cpuSeconds = 0;
    double largestRssMb = 0;
    TimePoint at;
};

// Adds up the running nodes, without targets and stand-ins.
ProcessUsage processUsage(Fleet &fleet);

}
