#pragma once

#include <cstdint>

namespace Galenahill {

// Load of a target as its sidecar reports it in each response.
struct TargetLoad
{
    // Calls that the target executes and that the sidecar queues.
    std::uint32_t calls = 0;
    // Calls that the target may execute now; zero if it accepts none.
    std::uint32_t limit = 0;
};

}
