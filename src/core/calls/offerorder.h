#pragma once

#include "core/calls/targetpicker.h"

#include <vector>

namespace Galenahill {

// A sidecar to offer a call to, and whether the call may wait for a slot there.
struct Choice
{
    const MemberRecord *target = nullptr;
    bool mayWait = false;
};

// Sidecars that one call was offered to without waiting, and those at which it
// waited for a slot or was refused that.
struct OfferHistory
{
    std::vector<NodeName> asked;
    std::vector<NodeName> waitedAt;
    // Sidecars of other data centres that were offered a call for which the own
    // data centre had no room.
    std::vector<NodeName> overflowedTo;
};

struct OfferTerms
{
    DataCentre dataCentre;
    // Goes before every other target; may be null.
    const MemberRecord *first = nullptr;
    // Whether the call is offered to other data centres before it is known what
    // it would wait there. Costly for large bodies.
    bool crossesUnasked = true;
};

// The next sidecar to offer a call to, or none if it has been offered enough.
// Targets with a short expected wait come first. The call is offered there without
// waiting while a slot seems free, then waits at the shortest line, and at last goes
// to data centres that are known to have room.
Choice nextOffer(TargetPicker &picker, const std::vector<MemberRecord> &targets, OfferHistory &history, const OfferTerms &terms, TimePoint now);

}
