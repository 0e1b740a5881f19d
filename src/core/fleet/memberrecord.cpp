#include "core/fleet/memberrecord.h"

#include <tuple>

namespace Galenahill {

std::string toString(MemberState state)
{
    switch (state) {
    case MemberState::Starting:
        return "starting";
    case MemberState::Ready:
        return "ready";
    case MemberState::Draining:
        return "draining";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Gone:
        return "gone";
    case MemberState::Left:
        return "left";
    }
    return "gone";
}

bool isValidRecord(const MemberRecord &record)
{
    // Far above any wall-clock time in milliseconds, far below overflow.
    constexpr std::uint64_t MaxIncarnation = std::uint64_t(1) << 48;
    return !record.name.value().empty() && !record.address.empty() && record.controlPort != 0 && record.incarnation < MaxIncarnation
        && record.state <= MemberState::Left;
}

bool supersedes(const MemberRecord &newer, const MemberRecord &older)
{
    return std::tie(newer.incarnation, newer.state) > std::tie(older.incarnation, older.state);
}

}
