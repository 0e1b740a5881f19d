#pragma once

#include <string>
#include <vector>

namespace Galenahill {

// A route of a configuration document as the platform's operator writes it.
struct SampleRoute
{
    std::string name;
    std::string service;
    bool idempotent = true;
    double timeoutSeconds = 1.5;
    double objectiveSeconds = 0.5;
};

// A whole document with these routes, each of which takes the paths below its name,
// for one host. `sources` is the repository's root.
std::string sampleDocument(const std::string &sources, int revision, const std::string &host, const std::vector<SampleRoute> &routes);

}
