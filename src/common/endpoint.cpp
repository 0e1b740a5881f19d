#include "common/endpoint.h"

#include <arpa/inet.h>
#include <charconv>

namespace Galenahill {

std::string toString(const Endpoint &endpoint)
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
}

bool isAddress(const std::string &text)
{
    in_addr address{};
    return inet_pton(AF_INET, text.c_str(), &address) == 1;
}

std::optional<Endpoint> endpointOf(const std::string &text)
{
    const auto colon = text.find(':');
    if (colon == std::string::npos || !isAddress(text.substr(0, colon))) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end || port == 0) {
        return std::nullopt;
    }
    return Endpoint{text.substr(0, colon), port};
}

}
