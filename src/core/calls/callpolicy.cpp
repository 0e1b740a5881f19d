#include "core/calls/callpolicy.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <map>
#include <vector>

namespace Galenahill {

CallPolicy CallPolicy::withToggled(const std::string &names)
{
    static const std::map<std::string, bool CallPolicy::*> features = {
        {"round-robin", &CallPolicy::leastLoaded},
        {"no-admission", &CallPolicy::admission},
        {"no-adaptive", &CallPolicy::adaptive},
        {"no-queue", &CallPolicy::queue},
        {"newest-first", &CallPolicy::newestFirst},
        {"no-ejection", &CallPolicy::ejection},
        {"naive-retry", &CallPolicy::retryBudget},
        {"no-shares", &CallPolicy::fairShares},
        {"by-urgency", &CallPolicy::byUrgency},
        {"no-customer-shares", &CallPolicy::customerShares},
    };
    CallPolicy policy;
    std::vector<std::string> items;
    boost::split(items, names, boost::is_any_of(","));
    for (const auto &item : items) {
        if (const auto found = features.find(item); found != features.end()) {
            policy.*found->second = !(policy.*found->second);
        }
    }
    return policy;
}

}
