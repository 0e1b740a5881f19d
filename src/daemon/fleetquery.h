#pragma once

#include "core/fleet/memberrecord.h"

#include <optional>
#include <string>
#include <vector>

namespace Galenahill {

// One member's response to a query.
struct MemberResponse
{
    MemberRecord member;
    // Body of the response; unset if the member is gone, did not respond in time or
    // responded with an error.
    std::optional<std::string> body;
    // When the body was received.
    TimePoint received;
};

// Requests a resource from the control ports of all members, at most `MaxParallel` at a
// time, and waits for the responses. Blocks.
std::vector<MemberResponse> queryFleet(const std::vector<MemberRecord> &members, const std::string &resource, Milliseconds timeLimit);

}
