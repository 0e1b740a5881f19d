#pragma once

#include "adapters/http/asio.h"

#include <cstdint>

namespace Galenahill {

// How the sending of a streamed response ended.
struct StreamResult
{
    // Why it ended early; unset if the response was sent completely.
    ErrorCode error;
    // Whether the source of the body failed. Otherwise the peer's connection did.
    bool sourceFailed = false;
    // Bytes of the body that were passed to the connection.
    std::uint64_t bytes = 0;
};

}
