#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Galenahill {

// Command line options that all experiments share.
struct ExperimentOptions
{
    // Build folder, which contains src/ and standins/.
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

// Each function runs one experiment, prints its results as one JSON object per line, and returns
// whether every invariant held.
bool runDistribution(const ExperimentOptions &options);
bool runDemo(const ExperimentOptions &options);
bool runCalls(const ExperimentOptions &options);

// Measures the CPU time per call of ingress and sidecar, each on its own thread in this process.
// A node does the work of both, so their sum gives the calls per second that one core can carry.
bool runDatapath(const ExperimentOptions &options);

// Measures how memory, CPU time and message sizes of a node's components grow with the number of
// members and the size of the configuration. Runs in this process; docs/CAPACITY.md is derived
// from the results.
bool runSlopes(const ExperimentOptions &options);
bool runFaults(const ExperimentOptions &options);

// Runs a fleet of platform nodes (galenahillnode) under random faults from a seed.
bool runSoak(const ExperimentOptions &options);

}
