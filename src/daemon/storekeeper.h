#pragma once

#include "core/configrepository.h"
#include "daemon/nodestate.h"
#include "ports/logger.h"
#include "ports/objectstore.h"

#include <functional>
#include <memory>

namespace Galenahill {

// The node's standing work with the platform's store, on a thread of its own:
// joining through the contacts, watching the head while this node holds that
// role, and keeping the contacts.
class StoreKeeper
{
public:
    struct Options
    {
        ObjectStore &store;
        ConfigRepository &repository;
        std::shared_ptr<NodeState> state;
        MemberRecord self;
        std::vector<Endpoint> seeds;
        Logger log;
        std::uint64_t seed = 1;
        // Asks a contact for its members and passes them on; false if it
        // didn't answer.
        std::function<bool(const Endpoint &contact)> joinThrough;
        std::function<void(std::shared_ptr<const ConfigRevision>)> revisionFound;
    };

    explicit StoreKeeper(Options options);
    ~StoreKeeper();

    // Works until NodeState::stopping is set.
    void run();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
