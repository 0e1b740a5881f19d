#pragma once

#include "adapters/platform/budgetedstore.h"
#include "core/config/configrepository.h"
#include "daemon/nodestate.h"
#include "ports/logger.h"

#include <functional>
#include <memory>

namespace Galenahill {

// Joins the fleet through the contacts in the store and, while the node has the role
// for it, maintains the contact list of its data centre. Runs on a thread of its own,
// so that a slow watch and unresponsive contacts do not delay each other.
class ContactMaintainer
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
        // Fetches a contact's member list and merges it into the membership;
        // false if the contact did not respond.
        std::function<bool(const Endpoint &contact)> joinThrough;
        // Reads the store's head beside the watch; called periodically.
        std::function<void()> checkHead;
    };

    explicit ContactMaintainer(Options options);
    ~ContactMaintainer();

    // Runs until NodeState::stopping is set.
    void run();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
