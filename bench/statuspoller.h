#pragma once

#include "faultrecords.h"

#include <memory>
#include <vector>

namespace Galenahill {

// Polls the status of every node on its own thread, as an external client, and records the
// responses.
class StatusPoller
{
public:
    // Time between a node's response and the next request to it.
    static constexpr Milliseconds Step{100};

    explicit StatusPoller(const Fleet &fleet);
    ~StatusPoller();

    // Stops polling and returns the responses in the order in which they arrived.
    std::vector<StatusSample> stop();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
