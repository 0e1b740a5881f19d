#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Galenahill {

// What every experiment is told on the command line.
struct ExperimentOptions
{
    // Folder of the build, with src/ and standins/ below it.
    std::string programs;
    // Folder with the example configuration files.
    std::string examples;
    // Folder for settings and logs of the processes under test.
    std::string folder;
    std::string commit;
    // Root of the repository.
    std::string sources = ".";
    std::uint64_t seed = 1;
    std::vector<std::size_t> nodes;
    bool quick = false;
    // Variants of the experiment to run; all if empty.
    std::vector<std::string> variants;
};

// Each runs one experiment, prints one JSON object a line, and gives whether
// every invariant held.
bool runDistribution(const ExperimentOptions &options);
bool runDemo(const ExperimentOptions &options);
bool runCalls(const ExperimentOptions &options);

// Processor time that one call costs ingress and sidecar, each on a thread of
// its own in this process. A node does both, so the two together say how many
// calls one core carries.
bool runDatapath(const ExperimentOptions &options);

// Memory, time and bytes of a node's parts against fleet and configuration
// size, in this process; docs/CAPACITY.md is worked out from them.
bool runSlopes(const ExperimentOptions &options);
bool runFaults(const ExperimentOptions &options);

// The programs of the users' platform under seeded faults.
bool runSoak(const ExperimentOptions &options);

}
