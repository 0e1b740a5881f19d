#pragma once

#include "adapters/platform/documentobjectstore.h"
#include "common/error.h"
#include "core/calls/callpolicy.h"
#include "core/config/nodesettings.h"
#include "ports/logger.h"

#include <memory>

namespace Galenahill {

// One node: ingress for callers, sidecar of its target, relay of the
// configuration, and member of the fleet.
class Node
{
public:
    struct Options
    {
        NodeSettings settings;
        // Opens the platform's store through the given client.
        DocumentObjectStore::StoreFactory openStore;
        Logger log;
        CallPolicy calls;
    };

    explicit Node(Options options);
    ~Node();

    // Opens the ports and starts the node. Invalid if an address is in use.
    Result<void> start();

    // Stops gracefully: accepts no new calls, lets those in flight and those whose body still
    // arrives finish for up to the drain timeout, then ends all threads. Blocks.
    void stop();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
