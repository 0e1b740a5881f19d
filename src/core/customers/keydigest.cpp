#include "core/customers/keydigest.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace Galenahill {

namespace {

// Makes the fingerprint, which other nodes see, independent of the digest that look-ups compare.
constexpr std::uint64_t FingerprintSeed = 0x67616c656e616869;

}

KeyDigest::KeyDigest(std::string_view key)
{
    const auto hash = XXH3_128bits(key.data(), key.size());
    m_low = hash.low64;
    m_high = hash.high64;
    m_fingerprint = static_cast<std::uint32_t>(XXH3_64bits_withSeed(key.data(), key.size(), FingerprintSeed));
}

std::uint32_t KeyDigest::fingerprint() const
{
    return m_fingerprint;
}

std::string formatFingerprint(std::uint32_t fingerprint)
{
    return fmt::format("{:08x}", fingerprint);
}

}
