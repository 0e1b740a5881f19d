#pragma once

#include "adapters/platform/budgetedstore.h"
#include "core/config/configrepository.h"
#include "daemon/nodestate.h"
#include "ports/logger.h"

#include <functional>
#include <memory>

namespace Galenahill {

// Reads the accepted revision from the store: once at the start, and by a watch while
// this node is a watcher.
class HeadWatcher
{
public:
    struct Options
    {
        BudgetedStore &store;
        ConfigRepository &repository;
        std::shared_ptr<NodeState> state;
        Logger log;
        std::function<void(std::shared_ptr<const ConfigRevision>)> revisionFound;
        // The store's head was read for the first time; the revision is zero if there is none.
        std::function<void(Revision)> storeAnswered;
        // The store's head could not be read.
        std::function<void()> storeFailed;
    };

    explicit HeadWatcher(Options options);
    ~HeadWatcher();

    // Runs until NodeState::stopping is set.
    void run();

    // Reads the head once if this node is a watcher. Called periodically from another
    // thread than `run`: the store may leave a watch without a response, and the node
    // would serve an old revision until the watch's time limit.
    void check();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
