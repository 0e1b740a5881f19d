#pragma once

#include "adapters/http/asio.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Galenahill {

// The rest of a body that is still arriving. Nothing is read from the network
// until it is asked for, so a slow reader slows the sender down.
class BodySource
{
public:
    virtual ~BodySource() = default;

    // Appends the next part, up to so many bytes. An error means that the
    // body was cut off and the rest will never come.
    virtual asio::awaitable<ErrorCode> read(std::string &part, std::size_t limit) = 0;

    // Whether the whole body has been read.
    virtual bool done() const = 0;

    // Whether any part has been read.
    virtual bool taken() const = 0;

    // Length of the whole body, if the sender gave it.
    virtual std::optional<std::uint64_t> length() const = 0;
};

}
