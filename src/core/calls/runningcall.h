#pragma once

#include "common/identifiers.h"

#include <cstdint>

namespace Galenahill {

// What is known of a call that a target is running, for the calls that it makes.
struct RunningCall
{
    RouteName route;
    // Rank of the call with which the chain of calls began.
    std::uint32_t priority = 0;
    // Whether the target runs it once more after another run of the same call.
    bool repeat = false;
};

}
