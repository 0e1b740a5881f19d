#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace Galenahill {

// An IP number and a port.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

template <typename Inspector>
auto inspect(Inspector &inspector, Endpoint &endpoint)
{
    return inspector(endpoint.address, endpoint.port);
}

// Written as address:port.
std::string toString(const Endpoint &endpoint);

// Whether the text is an IP number.
bool isAddress(const std::string &text);

// Reads IP:PORT; nothing if it is anything else.
std::optional<Endpoint> endpointOf(const std::string &text);

}
