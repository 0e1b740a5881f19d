#include "core/customers/keydigest.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <set>
#include <unordered_set>

using namespace Galenahill;

BOOST_AUTO_TEST_CASE(EqualsOnlyForTheSameKey)
{
    BOOST_TEST((KeyDigest("key-one") == KeyDigest("key-one")));
    for (const std::string other : {"", "key-on", "key-onf", "key-one ", "Key-one"}) {
        BOOST_TEST((KeyDigest("key-one") != KeyDigest(other)), other);
        BOOST_TEST(KeyDigest("key-one").fingerprint() != KeyDigest(other).fingerprint(), other);
    }
    BOOST_TEST((KeyDigest(std::string_view("a\0b", 3)) != KeyDigest("a")));
}

// Nodes compare fingerprints that others computed, and operators those of different days, so the function
// must not change.
BOOST_AUTO_TEST_CASE(FingerprintIsStable)
{
    BOOST_TEST(formatFingerprint(KeyDigest("clave-1").fingerprint()) == "a7af4571");
    BOOST_TEST(formatFingerprint(KeyDigest("clave-2").fingerprint()) == "37f5b675");
}

BOOST_AUTO_TEST_CASE(WritesEightDigits)
{
    BOOST_TEST(formatFingerprint(0) == "00000000");
    BOOST_TEST(formatFingerprint(0xabc) == "00000abc");
    BOOST_TEST(formatFingerprint(0xffffffff) == "ffffffff");
}

// Customers with similar keys, such as numbered ones, must not share a digest.
BOOST_AUTO_TEST_CASE(DistinguishesSimilarKeys)
{
    constexpr int Keys = 20000;
    std::unordered_set<KeyDigest> digests;
    std::set<std::size_t> hashes;
    for (int i = 0; i < Keys; ++i) {
        const KeyDigest digest(fmt::format("customer-{}", i));
        digests.insert(digest);
        hashes.insert(std::hash<KeyDigest>()(digest));
    }
    BOOST_TEST(digests.size() == static_cast<std::size_t>(Keys));
    BOOST_TEST(hashes.size() == static_cast<std::size_t>(Keys));
}

// Other nodes see the fingerprint; it must not be a part of what look-ups compare.
BOOST_AUTO_TEST_CASE(FingerprintIsNoPartOfTheHash)
{
    constexpr std::size_t HalfBits = 32;
    for (const std::string key : {"key-one", "key-two", ""}) {
        const KeyDigest digest(key);
        const auto hash = std::hash<KeyDigest>()(digest);
        BOOST_TEST(static_cast<std::uint32_t>(hash) != digest.fingerprint());
        BOOST_TEST(static_cast<std::uint32_t>(hash >> HalfBits) != digest.fingerprint());
    }
}
