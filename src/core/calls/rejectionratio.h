#pragma once

#include "common/identifiers.h"

namespace Galenahill {

// Fraction of calls that were rejected recently; the weight of a call decays with its age.
class RejectionRatio
{
public:
    void add(bool rejected, TimePoint now);

    // Zero while too few calls are known for a meaningful fraction.
    double value(TimePoint now) const;

private:
    double decay(TimePoint now) const;

    double m_calls = 0;
    double m_rejected = 0;
    TimePoint m_lastAdded;
};

}
