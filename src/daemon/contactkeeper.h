#pragma once

#include "adapters/platform/budgetedstore.h"
#include "core/config/configrepository.h"
#include "daemon/nodestate.h"
#include "ports/logger.h"

#include <functional>
#include <memory>

namespace Galenahill {

// Joins the fleet through the contacts in the store, and keeps the list of
// contacts of this data centre while the node holds that role. On a thread of
// its own, so that a slow watch and dead contacts don't hold each other up.
class ContactKeeper
{
public:
    struct Options
    {
        BudgetedStore &store;
        ConfigRepository &repository;
        std::shared_ptr<NodeState> state;
        MemberRecord self;
        std::vector<Endpoint> seeds;
        Logger log;
        std::uint64_t seed = 1;
        // Asks a contact for its members and passes them on; false if it
        // didn't answer.
        std::function<bool(const Endpoint &contact)> joinThrough;
        // Looks at the store's head beside the watch; called at intervals.
        std::function<void()> checkHead;
    };

    explicit ContactKeeper(Options options);
    ~ContactKeeper();

    // Works until NodeState::stopping is set.
    void run();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
