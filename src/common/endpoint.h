#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace Galenahill {

// An IP address and a port.
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

// Formats the endpoint as address:port.
std::string toString(const Endpoint &endpoint);

// Whether the text is an IPv4 address.
bool isAddress(const std::string &text);

// Parses IP:PORT; none if the text is anything else.
std::optional<Endpoint> endpointOf(const std::string &text);

}
