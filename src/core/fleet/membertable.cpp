#include "core/fleet/membertable.h"

#include <tuple>

namespace Galenahill {

bool isGoneOrLeft(const MemberRecord &record)
{
    return record.state >= MemberState::Gone;
}

bool MemberTable::merge(const MemberRecord &record, TimePoint now)
{
    const auto known = m_members.find(record.name);
    if (known != m_members.end() && !supersedes(record, known->second.record)) {
        return false;
    }
    const bool unknownAndGone = known == m_members.end() && isGoneOrLeft(record);
    if (unknownAndGone) {
        return false;
    }
    const auto revision = known == m_members.end() ? Revision() : known->second.revision;
    m_members[record.name] = {record, now, revision};
    markPredecessorsGone(record, now);
    return true;
}

// The successor of a replaced VM has its address and answers the probes meant for it. Unless the
// replaced member is marked gone, calls keep being sent to the wrong service.
void MemberTable::markPredecessorsGone(const MemberRecord &record, TimePoint now)
{
    for (auto &[name, member] : m_members) {
        auto &other = member.record;
        const bool predecessor = other.control() == record.control() && name != record.name && other.incarnation < record.incarnation;
        if (predecessor && !isGoneOrLeft(other)) {
            other.state = MemberState::Gone;
            member.updatedAt = now;
        }
    }
}

MemberTable::Member *MemberTable::find(const NodeName &name)
{
    const auto found = m_members.find(name);
    return found == m_members.end() ? nullptr : &found->second;
}

MemberTable::Member *MemberTable::findByEndpoint(const Endpoint &control)
{
    const auto rank = [](const MemberRecord &record) { return std::tuple(!isGoneOrLeft(record), record.incarnation); };
    Member *found = nullptr;
    for (auto &[name, member] : m_members) {
        const auto &record = member.record;
        const bool sameAddress = record.controlPort == control.port && record.address == control.address;
        if (sameAddress && (found == nullptr || rank(record) > rank(found->record))) {
            found = &member;
        }
    }
    return found;
}

std::map<NodeName, MemberTable::Member> &MemberTable::all()
{
    return m_members;
}

const std::map<NodeName, MemberTable::Member> &MemberTable::all() const
{
    return m_members;
}

std::size_t MemberTable::size() const
{
    return m_members.size();
}

void MemberTable::touch(TimePoint now)
{
    for (auto &[name, member] : m_members) {
        member.updatedAt = now;
    }
}

std::vector<MemberRecord> MemberTable::successors(const NodeName &name, std::size_t count) const
{
    std::vector<MemberRecord> found;
    auto next = m_members.upper_bound(name);
    for (std::size_t step = 0; step < m_members.size() && found.size() < count; ++step, ++next) {
        if (next == m_members.end()) {
            next = m_members.begin();
        }
        if (!isGoneOrLeft(next->second.record)) {
            found.push_back(next->second.record);
        }
    }
    return found;
}

}
