#pragma once

#include "core/config/configrepository.h"
#include "daemon/nodestate.h"

#include <functional>
#include <memory>
#include <string>

namespace Galenahill {

// The JSON-RPC methods that galenahillctl calls. They block; run them on a
// thread that may wait for the store and for other nodes.
class OperatorMethods
{
public:
    struct Options
    {
        std::shared_ptr<NodeState> state;
        ConfigRepository &repository;
        std::function<void(std::shared_ptr<const ConfigRevision>)> revisionAccepted;
    };

    explicit OperatorMethods(Options options);
    ~OperatorMethods();

    // Returns the response to one JSON-RPC request.
    std::string handle(const std::string &request);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
