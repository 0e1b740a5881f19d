#pragma once

#include "core/calls/targetpicker.h"

#include <vector>

namespace Galenahill {

// A sidecar to offer a call to, and whether the call may wait for a slot there.
struct Offer
{
    const MemberRecord *target = nullptr;
    bool mayWait = false;
};

// Sidecars that one call was offered to without waiting, and those at which it was queued or
// denied a place in the queue.
struct OfferHistory
{
    std::vector<NodeName> offeredWithoutWaiting;
    std::vector<NodeName> queuedAt;
    // Sidecars of remote data centres that were offered a call for which the local data centre had
    // no free slot.
    std::vector<NodeName> overflowedTo;
};

struct OfferOptions
{
    DataCentre dataCentre;
    // Offered the call before every other target; may be null.
    const MemberRecord *preferredTarget = nullptr;
    // Whether the call may be offered without waiting to remote data centres before it waits anywhere.
    // Expensive for large bodies.
    bool offerRemoteBeforeQueueing = true;
};

// The next sidecar to offer a call to, or none if it has been offered often enough. Targets with a
// short expected wait come first. The call is offered without waiting while a slot seems free,
// then it waits where the expected wait is shortest, and at last it overflows to remote data
// centres that are known to have free slots.
Offer nextOffer(TargetPicker &picker, const std::vector<MemberRecord> &targets, OfferHistory &history, const OfferOptions &options, TimePoint now);

}
