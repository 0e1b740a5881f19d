#pragma once

#include "common/endpoint.h"
#include "common/identifiers.h"

#include <cstdint>

namespace Galenahill {

// What a member says of itself and its target, ordered by how final it is:
// with equal incarnation the higher state wins.
enum class MemberState : std::uint8_t {
    // The node runs; its target doesn't take calls yet.
    Starting,
    // The target takes calls.
    Ready,
    // The node still answers; its target takes no new calls.
    Draining,
    // Another member got no answer; may be refuted by a higher incarnation.
    Suspect,
    // Given up by other members; comes back by a higher incarnation.
    Gone,
    // Said itself that it stops.
    Left,
};

std::string toString(MemberState state);

// One member as known by gossip.
struct MemberRecord
{
    NodeName name;
    DataCentre dataCentre;
    ServiceName service;
    std::string address;
    std::uint16_t ingressPort = 0;
    std::uint16_t sidecarPort = 0;
    std::uint16_t controlPort = 0;
    // Version of the target's software; empty: not known.
    TargetVersion version;
    // Speed of the VM's link; zero: not known.
    std::uint32_t linkMbps = 0;
    // Grows with each start (wall clock) and each refutation; only the member
    // itself raises it.
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

// Whether a member can have said this of itself: it has a name, an address, a
// known state, and an incarnation that a refutation can still top.
bool isPlausible(const MemberRecord &record);

// Whether the new record replaces the old one.
bool supersedes(const MemberRecord &newer, const MemberRecord &older);

}
