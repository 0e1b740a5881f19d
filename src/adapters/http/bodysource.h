#pragma once

#include "adapters/http/asio.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Galenahill {

// The rest of a message body that is still arriving. It is read from the network only on demand,
// so that a slow reader slows down the sender.
class BodySource
{
public:
    virtual ~BodySource() = default;

    // Appends the next part, up to `limit` bytes. An error means that the body is truncated.
    virtual asio::awaitable<ErrorCode> read(std::string &part, std::size_t limit) = 0;

    // Whether the body has been read to its end.
    virtual bool done() const = 0;

    // Whether reading has begun.
    virtual bool readStarted() const = 0;

    // Length of the complete body, if the sender stated it.
    virtual std::optional<std::uint64_t> length() const = 0;
};

}
