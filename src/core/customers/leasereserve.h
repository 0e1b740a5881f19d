#pragma once

#include "core/config/customerdefinition.h"
#include "core/customers/limitmembers.h"

#include <optional>

namespace Galenahill {

// Tokens of one customer that a node may spend while the grantor does not answer. Fills slowly to the
// node's share of the slack that the bound allows. Fills at the node's share of the rate if only few
// grantors are silent, which then have failed, or once the grantor has been silent for so long that it
// counts this node as vanished. Callers pass the time in.
class LeaseReserve
{
public:
    // `phase`: part of a token, other for each node, by which the first one of a node that is cut off is
    // delayed, so that not all nodes get theirs at once.
    LeaseReserve(Milliseconds cutOffDelay, double phase, TimePoint now);

    // Fills the reserve. Called before each change of the limit, the members or the grantor's silence.
    // `onlyFewSilent`: other grantors have answered this node while this one did not.
    void update(const CustomerLimit &limit, const LimitMembers &members, bool onlyFewSilent, TimePoint now);

    // The grantor has not answered a request sent at that time, or has answered one.
    void grantorSilent(TimePoint since);
    void grantorAnswered();

    // Removes one token, if there is a whole one.
    bool tryTake();

    // Returns the token of a call that did not run.
    void giveBack();

private:
    Milliseconds m_cutOffDelay;
    double m_phase;
    bool m_cutOff = false;
    double m_tokens = 0;
    TimePoint m_updated;
    std::optional<TimePoint> m_silentSince;
};

}
