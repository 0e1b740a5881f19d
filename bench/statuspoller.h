#pragma once

#include "faultrecords.h"

#include <memory>
#include <vector>

namespace Galenahill {

// Asks every node for its status again and again on a thread of its own, as
// somebody outside the system would, and keeps the answers.
class StatusPoller
{
public:
    // Time between two questions to one node.
    static constexpr Milliseconds Step{100};

    explicit StatusPoller(const Fleet &fleet);
    ~StatusPoller();

    // Ends the polling and gives the answers in the order they came.
    std::vector<StatusSample> stop();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
