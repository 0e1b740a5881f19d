#include "common/endpoint.h"

namespace Galenahill {

std::string toString(const Endpoint &endpoint)
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
}

}
