#pragma once

#include "core/quarantine/targetend.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Galenahill {

// What is known of a request's content.
enum class RequestStanding {
    // No target has ended under it, or one has responded to it since.
    Clear,
    // One target has ended under it.
    Suspect,
    // As many targets have ended under it as may; no further one gets it.
    Quarantined,
};

const char *toString(RequestStanding standing);

// The unplanned ends of targets in the fleet, with the requests that were running at the time. Tables of several nodes
// that have seen the same ends and responses are equal, whatever the order. Bounded; the oldest ends are dropped first.
// Callers pass the time in.
class QuarantineTable
{
public:
    struct Options
    {
        // Number of targets that may end under one request, and one more while so many others of the service have ended, not all under one
        // request, that two ends under one request may be chance.
        std::size_t maxEnds = 2;
        std::size_t otherEnds = 3;
        // How long an end counts, and how many ends are kept.
        Milliseconds holdTime{600'000};
        std::size_t capacity = 512;
    };

    explicit QuarantineTable(Options options);

    // Adds an end that was observed at that time, or what its report says of responses since. Returns whether anything was new.
    bool add(const TargetEnd &end, TimePoint observed);

    // A target has responded to the request, or an operator has cleared it: its ends so far no longer count. Returns the
    // ends that this changed.
    std::vector<TargetEnd> clear(RequestDigest digest, TimePoint now);

    RequestStanding standing(RequestDigest digest, TimePoint now) const;

    // Number of ends that count against the request, and the nodes beside these targets.
    std::size_t endsOf(RequestDigest digest, TimePoint now) const;
    std::vector<NodeName> endedNodes(RequestDigest digest, TimePoint now) const;

    // Number of targets of the service that ended within that time.
    std::size_t recentEnds(const ServiceName &service, Milliseconds window, TimePoint now) const;

    // All ends, with their ages.
    std::vector<TargetEnd> ends(TimePoint now) const;

    // Requests that ends count against: all of them, and those among them that are quarantined.
    std::size_t suspects(TimePoint now) const;
    std::size_t quarantined(TimePoint now) const;

    // Drops the ends that no longer count.
    void expire(TimePoint now);

    bool empty() const;

private:
    struct KnownEnd
    {
        TargetEnd end;
        TimePoint observed;
    };

    TargetEnd withAge(const KnownEnd &known, TimePoint now) const;
    void removeOldest();
    void removeFromIndex(const TargetEnd &end);
    bool isExplained(const TargetEnd &end, TimePoint now) const;
    bool hasManyOtherEnds(RequestDigest digest, TimePoint now) const;
    const KnownEnd *countedEnd(TargetEndId id, RequestDigest digest, TimePoint now) const;

    Options m_options;
    std::unordered_map<TargetEndId, KnownEnd> m_ends;
    // Ids of the ends in which the request was running.
    std::unordered_map<RequestDigest, std::vector<TargetEndId>> m_byDigest;
};

}
