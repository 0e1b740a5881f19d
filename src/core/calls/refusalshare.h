#pragma once

#include "common/identifiers.h"

namespace Galenahill {

// Share of calls that were refused of late; older ones count less and less.
class RefusalShare
{
public:
    void add(bool refused, TimePoint now);

    // Zero while too few calls are known to tell.
    double value(TimePoint now) const;

private:
    double fading(TimePoint now) const;

    double m_calls = 0;
    double m_refused = 0;
    TimePoint m_at;
};

}
