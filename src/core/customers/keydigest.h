#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace Galenahill {

// Digest of a customer's API key, by which nodes look keys up. It keeps keys out of logs and output;
// it is no protection against an attacker who already reads a node's memory, where the configuration
// text contains the keys themselves.
class KeyDigest
{
public:
    explicit KeyDigest(std::string_view key);

    // A short hash of the key, independent of the rest of the digest, by which nodes tell each other
    // which of a customer's keys a call was identified by.
    std::uint32_t fingerprint() const;

    friend auto operator<=>(const KeyDigest &, const KeyDigest &) = default;

private:
    friend struct std::hash<KeyDigest>;

    std::uint64_t m_low;
    std::uint64_t m_high;
    std::uint32_t m_fingerprint;
};

// A fingerprint as it is written in header fields and output: eight hexadecimal digits.
std::string formatFingerprint(std::uint32_t fingerprint);

}

template <>
struct std::hash<Galenahill::KeyDigest>
{
    std::size_t operator()(const Galenahill::KeyDigest &digest) const
    {
        return digest.m_low;
    }
};
