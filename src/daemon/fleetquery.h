#pragma once

#include "core/fleet/memberrecord.h"

#include <optional>
#include <string>
#include <vector>

namespace Galenahill {

// One member's answer to a query.
struct MemberAnswer
{
    MemberRecord member;
    // The body of the answer, or nothing if the member is gone, didn't answer
    // in time or answered with an error.
    std::optional<std::string> body;
};

// Asks all members for a resource of their control port, at most
// `MaxParallel` at a time, and waits for the answers. Blocks.
std::vector<MemberAnswer> queryFleet(const std::vector<MemberRecord> &members, const std::string &resource, Milliseconds timeLimit);

}
