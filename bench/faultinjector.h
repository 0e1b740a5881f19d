#pragma once

#include "faultrecords.h"
#include "faultschedule.h"

#include <vector>

namespace Galenahill {

// Injects scheduled faults into a fleet of real processes, on the calling thread.
class FaultInjector
{
public:
    explicit FaultInjector(Fleet &fleet);

    // Makes the store keep a backup of its objects for a later restore.
    void backUpStore();

    // Injects all faults and returns what was done and when. At the end every process runs and no
    // link loses datagrams.
    std::vector<FaultRecord> injectAll(const std::vector<PlannedFault> &faults);

private:
    void beginFault(const PlannedFault &fault);
    void endFault(const PlannedFault &fault, FaultRecord &record);
    void sendToStore(const std::string &path, const std::string &body = {});
    void setLinks(std::size_t node, const std::vector<std::size_t> &others, double loss);
    void partition(const std::vector<std::size_t> &inside);
    void setLossOnAllLinks(double loss);
    bool exitsCleanly(std::size_t node);

    Fleet &m_fleet;
};

}
