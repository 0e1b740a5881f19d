#pragma once

#include "common/endpoint.h"
#include "common/identifiers.h"
#include "core/fleet/memberrecord.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Galenahill {

// Content of a target's heartbeat.
struct TargetAnnouncement
{
    // Name that the target gives itself; a restart may keep it.
    std::string id;
    // Start time by the target's own clock, in milliseconds since the epoch: orders the starts at
    // one address.
    std::int64_t startedAt = 0;
    // Increases with each announcement of one start.
    std::uint64_t sequence = 0;
    ServiceName service;
    Endpoint address;
    DataCentre dataCentre;
    TargetVersion version;
    // Calls that it runs concurrently.
    std::uint32_t slots = 1;
    bool draining = false;
    // Remaining time for which it is slow after its start.
    Milliseconds warmUpRemaining{0};
};

// Tracks the one target beside this node through its announcements, which may be late, duplicated,
// reordered, or from a start that has ended.
class TargetRegistration
{
public:
    struct Options
    {
        // The only address at which the target of this VM can listen.
        Endpoint address;
        ServiceName service;
        // Whether the whole fleet starts for the first time, so that no earlier process of this
        // node can have received the target's leaving message.
        bool firstStart = false;
        // Time without an announcement after which the target counts as not ready.
        Milliseconds heartbeatTimeout{6000};
    };

    enum class RegistrationResult {
        // New information; the state may have changed.
        Accepted,
        // Known already, or superseded by a later announcement.
        Stale,
        // Not from the target beside this node.
        Foreign,
    };

    explicit TargetRegistration(Options options);

    RegistrationResult targetAnnounced(const TargetAnnouncement &target, TimePoint now);

    // The target with this id accepts no more calls. The start time is given if the target sent it.
    RegistrationResult leaveAnnounced(const std::string &id, std::optional<std::int64_t> startedAt);

    // The target answered a health check.
    void healthChecked(const std::string &id, bool healthy, TimePoint now);

    // A connection to the target was refused or broke. The target counts as not ready until its
    // next announcement.
    void targetUnreachable();

    // Whether the target needs a health check before its first call.
    bool needsHealthCheck() const;

    MemberState state(TimePoint now) const;

    // The last announcement of the target; none before the first.
    const std::optional<TargetAnnouncement> &target() const;

private:
    bool isLaterStart(const TargetAnnouncement &target) const;

    Options m_options;
    std::optional<TargetAnnouncement> m_target;
    // Id of a target that left before this process had an announcement of it; empty for none.
    std::string m_leftBeforeAnnounced;
    bool m_leaving = false;
    bool m_targetUnreachable = false;
    bool m_trusted = false;
    TimePoint m_lastContact;
};

}
