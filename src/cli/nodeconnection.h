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

    // The method's result. A lost answer to a method that changes something
    // is OutcomeUnknown; a node that can't be reached is Unavailable.
    Result<nlohmann::json> call(const std::string &method, const nlohmann::json &params);

private:
    Endpoint m_node;
};

}
