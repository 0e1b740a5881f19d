#pragma once

#include <cstdint>

namespace Galenahill {

// What a sidecar says about its target on each answer.
struct TargetLoad
{
    // Calls that the target runs and the sidecar holds.
    std::uint32_t calls = 0;
    // Calls that the target may run now; zero if it takes none.
    std::uint32_t limit = 0;
};

}
