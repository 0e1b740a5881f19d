#pragma once

#include "common/error.h"

#include <memory>
#include <string>

namespace Galenahill {

// Simulates lossy and broken links to other nodes, for fault injection tests. Enabled only by
// `[testing] link-faults = yes` in the node's settings. Thread-safe.
class LinkFilter
{
public:
    explicit LinkFilter(std::uint64_t seed);
    ~LinkFilter();

    // Replaces the loss rates by those of a JSON object, which maps IP addresses to the share of
    // datagrams to drop, from 0 to 1.
    Result<void> set(const std::string &json);

    // Whether a datagram from or to the address is delivered. Decided at random for each datagram.
    bool passes(const std::string &address);

    // Whether connections to the address can be opened; false if all its datagrams are dropped.
    bool connects(const std::string &address) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
