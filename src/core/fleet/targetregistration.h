#pragma once

#include "common/endpoint.h"
#include "common/identifiers.h"
#include "core/fleet/memberrecord.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Galenahill {

// What a target says of itself in a heartbeat.
struct TargetAnnouncement
{
    // Name that the target gives itself. A restart may keep it.
    std::string id;
    // Milliseconds since the epoch at its start, by its own clock: orders
    // starts under one address.
    std::int64_t startedAt = 0;
    // Grows with each announcement of one start.
    std::uint64_t sequence = 0;
    ServiceName service;
    Endpoint address;
    DataCentre dataCentre;
    TargetVersion version;
    // Calls that it runs at a time.
    std::uint32_t slots = 1;
    bool draining = false;
    // Time for which it is still slow after its start.
    Milliseconds warmUpLeft{0};
};

// Follows the one target beside this node through its announcements, which may
// arrive late, twice, out of order, or come from a start that has ended.
class TargetRegistration
{
public:
    struct Options
    {
        // The only address at which the target of this VM can be.
        Endpoint address;
        ServiceName service;
        // Whether the whole fleet starts for the first time, so that no
        // earlier process of this node can have seen the target leave.
        bool firstStart = false;
        // Time without an announcement after which the target counts as gone.
        Milliseconds silence{6000};
    };

    enum class Verdict {
        // News; the state may have changed.
        Taken,
        // Known already, or overtaken by later news.
        Stale,
        // Not of the target beside this node.
        Foreign,
    };

    explicit TargetRegistration(Options options);

    Verdict announced(const TargetAnnouncement &target, TimePoint now);

    // The target of that id takes no more calls. The start is given if the
    // target said it.
    Verdict left(const std::string &id, std::optional<std::int64_t> startedAt);

    // What the target answered when it was asked whether it takes calls.
    void checked(const std::string &id, bool healthy, TimePoint now);

    // A connection to the target was refused or broke. It counts as not ready
    // until it announces itself again.
    void lost();

    // Whether the target has to be asked before it gets its first call.
    bool needsCheck() const;

    MemberState state(TimePoint now) const;

    // The target as it last announced itself; nothing before that.
    const std::optional<TargetAnnouncement> &target() const;

private:
    bool isLaterStart(const TargetAnnouncement &target) const;

    Options m_options;
    std::optional<TargetAnnouncement> m_target;
    // Id of a target that left before this process had heard of it; empty: none.
    std::string m_leftUnknown;
    bool m_leaving = false;
    bool m_lost = false;
    bool m_trusted = false;
    TimePoint m_lastHeard;
};

}
