#include "core/fleet/targetregistration.h"

namespace Galenahill {

TargetRegistration::TargetRegistration(Options options)
    : m_options(std::move(options))
    , m_trusted(m_options.firstStart)
{
}

bool TargetRegistration::isLaterStart(const TargetAnnouncement &target) const
{
    return !m_target || target.startedAt > m_target->startedAt;
}

TargetRegistration::RegistrationResult TargetRegistration::targetAnnounced(const TargetAnnouncement &target, TimePoint now)
{
    if (target.address != m_options.address || target.service != m_options.service) {
        return RegistrationResult::Foreign;
    }
    if (isLaterStart(target)) {
        const bool leftBeforeAnnounced = m_leftBeforeAnnounced == target.id;
        m_target = target;
        m_leaving = target.draining || leftBeforeAnnounced;
        m_targetUnreachable = false;
        m_lastContact = now;
        return RegistrationResult::Accepted;
    }
    const bool sameStart = target.startedAt == m_target->startedAt && target.id == m_target->id;
    if (!sameStart) {
        return RegistrationResult::Stale;
    }
    // Leaving is final for one start: a delayed earlier announcement would otherwise make a target
    // ready again although the node has acknowledged that it leaves.
    m_leaving = m_leaving || target.draining;
    if (target.sequence <= m_target->sequence) {
        return RegistrationResult::Stale;
    }
    m_target = target;
    m_targetUnreachable = false;
    m_lastContact = now;
    return RegistrationResult::Accepted;
}

TargetRegistration::RegistrationResult TargetRegistration::leaveAnnounced(const std::string &id, std::optional<std::int64_t> startedAt)
{
    if (!m_target) {
        m_leftBeforeAnnounced = id;
        return RegistrationResult::Accepted;
    }
    if (id != m_target->id) {
        return RegistrationResult::Stale;
    }
    if (startedAt && *startedAt < m_target->startedAt) {
        return RegistrationResult::Stale;
    }
    m_leaving = true;
    return RegistrationResult::Accepted;
}

void TargetRegistration::healthChecked(const std::string &id, bool healthy, TimePoint now)
{
    if (m_target && m_target->id == id && healthy) {
        m_trusted = true;
        m_lastContact = now;
    }
}

void TargetRegistration::targetUnreachable()
{
    m_targetUnreachable = true;
}

// A restarted node doesn't know whether its previous process received the target's leaving message.
// An announcement alone doesn't show it: a delayed one may be older than that message.
bool TargetRegistration::needsHealthCheck() const
{
    return m_target && !m_trusted && !m_leaving;
}

MemberState TargetRegistration::state(TimePoint now) const
{
    if (!m_target) {
        return MemberState::Starting;
    }
    if (m_leaving) {
        return MemberState::Draining;
    }
    const bool timedOut = now - m_lastContact > m_options.heartbeatTimeout;
    return !m_trusted || m_targetUnreachable || timedOut ? MemberState::Starting : MemberState::Ready;
}

const std::optional<TargetAnnouncement> &TargetRegistration::target() const
{
    return m_target;
}

}
