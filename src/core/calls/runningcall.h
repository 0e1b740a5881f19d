#pragma once

#include "core/customers/calleridentity.h"

#include <cstdint>

namespace Galenahill {

// A call that a target is executing, as far as its nested calls depend on it.
struct RunningCall
{
    RouteName route;
    // Priority of the call at the root of the call tree.
    std::uint32_t priority = 0;
    // Whether the call may have been executed before, or is nested in a call that may have been.
    bool isRetry = false;
    // Customer of the call at the root of the call tree.
    std::optional<IdentifiedCustomer> customer;
    // Whether the call ended without a response although the target may still be executing it.
    bool isAbandoned = false;
};

}
