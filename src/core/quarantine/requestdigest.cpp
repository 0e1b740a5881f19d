#include "core/quarantine/requestdigest.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fmt/format.h>
#include <xxhash.h>

namespace Galenahill {

namespace {

constexpr std::size_t DigestDigits = 16;

// Longest name of a host in DNS.
constexpr std::size_t MaxHostBytes = 253;

// The hash of each part is the seed of the next one, so that no two splits of a text have the same digest.
std::uint64_t addPart(std::uint64_t hash, std::string_view part)
{
    return XXH3_64bits_withSeed(part.data(), part.size(), hash);
}

std::uint64_t addHost(std::uint64_t hash, std::string_view host)
{
    std::array<char, MaxHostBytes> lower;
    const auto size = std::min(host.size(), lower.size());
    std::transform(host.begin(), host.begin() + size, lower.begin(), [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
    return addPart(hash, {lower.data(), size});
}

}

RequestDigest digestOf(const RequestContent &content)
{
    auto hash = addPart(0, content.method);
    hash = addHost(hash, content.host);
    hash = addPart(hash, content.target);
    if (content.streamedLength) {
        const auto length = *content.streamedLength;
        return RequestDigest(addPart(hash, {reinterpret_cast<const char *>(&length), sizeof length}));
    }
    return RequestDigest(addPart(hash, content.body));
}

std::string toString(RequestDigest digest)
{
    return fmt::format("{:016x}", digest.value());
}

std::optional<RequestDigest> parseDigest(std::string_view text)
{
    std::uint64_t value = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value, 16);
    const bool whole = text.size() == DigestDigits && parsed.ec == std::errc() && parsed.ptr == end;
    return whole ? std::optional(RequestDigest(value)) : std::nullopt;
}

}
