#pragma once

#include "faultrecords.h"
#include "faultschedule.h"

#include <vector>

namespace Galenahill {

// Plays scheduled faults on a fleet of real processes, on the calling thread.
class FaultPlayer
{
public:
    explicit FaultPlayer(Fleet &fleet);

    // Keeps a copy of the store's objects for a later restore.
    void backUp();

    // Plays all and gives what was done and when; at the end every process
    // runs and every link is whole.
    std::vector<FaultRecord> play(const std::vector<PlannedFault> &faults);

private:
    void begin(const PlannedFault &fault);
    void end(const PlannedFault &fault, FaultRecord &record);
    void platform(const std::string &path, const std::string &body = {});
    void setLinks(std::size_t node, const std::vector<std::size_t> &others, double loss);
    void cutLinks(const std::vector<std::size_t> &inside);
    void loseOnAllLinks(double loss);
    bool waitForExit(std::size_t node);

    Fleet &m_fleet;
};

}
