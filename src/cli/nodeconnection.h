#pragma once

#include "common/endpoint.h"
#include "common/error.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace Galenahill {

// Calls operator methods of one node over JSON-RPC.
class NodeConnection
{
public:
    explicit NodeConnection(Endpoint node);

    // Calls the method and returns its result. Fails with Unavailable if the node can't be reached, with
    // OutcomeUnknown if the response was lost: a change that the method makes may have taken effect.
    Result<nlohmann::json> call(const std::string &method, const nlohmann::json &params);

private:
    Endpoint m_node;
};

}
