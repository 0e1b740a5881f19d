#include "daemon/quarantinelog.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>

namespace Galenahill {

void logQuarantineChange(const Logger &log, const QuarantineChange &change)
{
    std::vector<std::string> nodes;
    std::transform(change.nodes.begin(), change.nodes.end(), std::back_inserter(nodes), [](const auto &node) { return node.value(); });
    log(change.standing == RequestStanding::Quarantined ? LogLevel::Warning : LogLevel::Info,
        "request-standing",
        {{"digest", toString(change.digest)},
            {"standing", toString(change.standing)},
            {"ended_beside", fmt::format("{}", fmt::join(nodes, ","))},
            {"seen_here", change.seenHere}});
}

}
