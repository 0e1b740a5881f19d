#pragma once

#include "adapters/platform/budgetedstore.h"
#include "core/config/configrepository.h"
#include "daemon/nodestate.h"
#include "ports/logger.h"

#include <functional>
#include <memory>

namespace Galenahill {

// Learns from the store which revision is accepted: once at the start, and by
// watching while this node holds that role.
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
        // The store's head was read for the first time; zero if it has none.
        std::function<void(Revision)> storeAnswered;
        // It could not be read.
        std::function<void()> storeFailed;
    };

    explicit HeadWatcher(Options options);
    ~HeadWatcher();

    // Works until NodeState::stopping is set.
    void run();

    // Reads the head once if this node watches it. For another thread than
    // the one of `run`, at intervals: the platform may let a watch stall
    // without an answer, and the node would serve an old revision until the
    // watch's time limit.
    void check();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
