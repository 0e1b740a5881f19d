#pragma once

#include <string>
#include <vector>

namespace Galenahill {

// A route in a configuration document of the platform.
struct SampleRoute
{
    std::string name;
    std::string service;
    bool idempotent = true;
    double timeoutSeconds = 1.5;
    double objectiveSeconds = 0.5;
};

// Returns a complete configuration document for one host. Each route matches the paths below its
// name. `sources` is the root of the repository.
std::string sampleDocument(const std::string &sources, int revision, const std::string &host, const std::vector<SampleRoute> &routes);

}
