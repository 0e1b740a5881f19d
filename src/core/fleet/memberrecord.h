#pragma once

#include "common/endpoint.h"
#include "common/identifiers.h"

#include <cstdint>

namespace Galenahill {

// State of a member and its target. Of two records with equal incarnation the one with the higher
// state wins, so the order of the states matters.
enum class MemberState : std::uint8_t {
    // The node runs; its target doesn't accept calls yet.
    Starting,
    // The target accepts calls.
    Ready,
    // The node still answers; its target accepts no new calls.
    Draining,
    // The member didn't answer a probe; it can refute this with a higher incarnation.
    Suspect,
    // Other members have declared it gone; it comes back with a higher incarnation.
    Gone,
    // The member itself has announced that it stops.
    Left,
};

std::string toString(MemberState state);

// Member of the fleet as spread by gossip.
struct MemberRecord
{
    NodeName name;
    DataCentre dataCentre;
    ServiceName service;
    std::string address;
    std::uint16_t ingressPort = 0;
    std::uint16_t sidecarPort = 0;
    std::uint16_t controlPort = 0;
    // Version of the target's software; empty if unknown.
    TargetVersion version;
    // Bandwidth of the VM's link; zero if unknown.
    std::uint32_t linkMbps = 0;
    // Raised by the member alone: with each start, to the wall-clock time, and with each
    // refutation.
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Starting;

    Endpoint control() const
    {
        return {address, controlPort};
    }

    Endpoint sidecar() const
    {
        return {address, sidecarPort};
    }

    friend bool operator==(const MemberRecord &, const MemberRecord &) = default;
};

template <typename Inspector>
auto inspect(Inspector &inspector, MemberRecord &record)
{
    return inspector(record.name,
        record.dataCentre,
        record.service,
        record.address,
        record.ingressPort,
        record.sidecarPort,
        record.controlPort,
        record.version,
        record.linkMbps,
        record.incarnation,
        record.state);
}

// Whether a member can have sent this record of itself: it has a name, an address, a known state,
// and an incarnation that a refutation can still exceed.
bool isValidRecord(const MemberRecord &record);

// Whether the newer record replaces the older one.
bool supersedes(const MemberRecord &newer, const MemberRecord &older);

}
