#pragma once

#include "core/calls/targetpicker.h"

#include <algorithm>
#include <cstdint>
#include <numeric>
#include <vector>

namespace Galenahill::Test {

// Load, fleet and behaviour that a LoadSimulation plays.
struct LoadSimulationOptions
{
    std::uint64_t seed = 1;
    std::size_t dataCentres = 6;
    // Per data centre; VMs without a target only have an ingress.
    std::size_t targets = 17;
    std::size_t members = 49;
    std::uint32_t slots = 6;
    double workMs = 160;
    // Relative speeds of the targets, assigned in turn.
    std::vector<double> speeds{0.6, 1.0, 1.4};
    // Offered load as a fraction of the capacity of all targets.
    double load = 0.85;
    // Relative arrival rates of the data centres, assigned in turn; their mean is one.
    std::vector<double> arrivals{1};
    // Number of targets of the first data centre that are missing from the start.
    std::size_t missing = 0;
    Milliseconds objective{500};
    Milliseconds maxWait{75};
    Milliseconds length{5000};
    // Whether ingresses learn loads through the exchange, or from responses only.
    bool exchange = true;
    // Whether rejected callers return once, and what they are told: the lowest wait that a sidecar
    // reported, jittered, or the backlog that the ingress knows, jittered or with spaced returns.
    enum class Return {
        None,
        LowestWait,
        Backlog,
        SpacedBacklog,
        // The same, but only as long as callers can still be answered within their objective.
        SpacedWithinObjective,
    };
    Return returns = Return::None;
    // Whether returning calls go ahead of new ones while they can be in time.
    bool returningGoFirst = true;
    Milliseconds deadline{4000};
    // Load during a part of the run; not if zero.
    double burstLoad = 0;
    Milliseconds burstFrom{0};
    Milliseconds burstUntil{0};
    // Time from which no load reports are delivered.
    Milliseconds reportsLostFrom{1'000'000};
    TargetPicker::Options picker;
};

// What became of the calls of a LoadSimulation.
struct LoadSimulationResult
{
    std::size_t calls = 0;
    std::size_t inTime = 0;
    std::size_t late = 0;
    // Calls that were rejected and did not return, and of those the ones that had returned.
    std::size_t refused = 0;
    std::size_t refusedAgain = 0;
    std::size_t returned = 0;
    std::size_t remoteCalls = 0;
    std::size_t offers = 0;
    std::size_t remoteOffers = 0;
    // By data centre of the caller.
    std::vector<std::size_t> callsOf;
    std::vector<std::size_t> servedOf;
    // Calls run by each target, relative to its speed.
    std::vector<double> ranPerCapacity;

    double served() const
    {
        return static_cast<double>(inTime + late) / static_cast<double>(calls);
    }

    double served(std::size_t dataCentre) const
    {
        return static_cast<double>(servedOf[dataCentre]) / static_cast<double>(callsOf[dataCentre]);
    }

    double busiestToMean() const
    {
        const auto sum = std::accumulate(ranPerCapacity.begin(), ranPerCapacity.end(), 0.0);
        return *std::max_element(ranPerCapacity.begin(), ranPerCapacity.end()) * static_cast<double>(ranPerCapacity.size()) / sum;
    }
};

}
