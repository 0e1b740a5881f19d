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
    std::uint64_t seed = 1;
    std::vector<std::size_t> nodes;
    bool quick = false;
};

// Each runs one experiment, prints one JSON object a line, and gives whether
// every invariant held.
bool runDemo(const ExperimentOptions &options);
bool runFaults(const ExperimentOptions &options);

}
