#pragma once

#include "core/config/routedefinition.h"
#include "core/config/sectionreader.h"

#include <optional>

namespace Galenahill {

// Reads one [route] section.
class RouteReader
{
public:
    explicit RouteReader(SectionReader &section);

    // The route; unset if a required key is missing. Errors in values are reported, too.
    std::optional<RouteDefinition> read();

private:
    void readHost();
    void readSplit();
    void readPath();
    void readMethods();
    void readIdempotent();
    void readLargeBodies();
    void readLargeResponses();
    void checkObjectives();

    SectionReader &m_section;
    RouteDefinition m_route;
};

}
