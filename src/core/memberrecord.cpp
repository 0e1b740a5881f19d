#include "core/memberrecord.h"

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
    }
    return "gone";
}

bool supersedes(const MemberRecord &newer, const MemberRecord &older)
{
    return std::tie(newer.incarnation, newer.state) > std::tie(older.incarnation, older.state);
}

}
