#pragma once

#include "common/error.h"

#include <memory>
#include <string>

namespace Galenahill {

// Plays cut and lossy links to other nodes, for runs with faults. Only a node
// whose settings say `[testing] link-faults = yes` has one. Usable from
// several threads.
class LinkFilter
{
public:
    explicit LinkFilter(std::uint64_t seed);
    ~LinkFilter();

    // Takes a JSON object of IP number to the share of datagrams lost, from 0
    // to 1; it replaces the one before.
    Result<void> set(const std::string &json);

    // Whether this datagram from or to the address gets through.
    bool passes(const std::string &address);

    // Whether connections to the address can be made; not so on a link that
    // loses everything.
    bool connects(const std::string &address) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
