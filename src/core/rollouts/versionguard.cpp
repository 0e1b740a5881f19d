#include "core/rollouts/versionguard.h"

namespace Galenahill {

void VersionGuard::setVersion(const TargetVersion &version)
{
    m_version = version;
}

bool VersionGuard::setRule(const std::optional<VersionRule> &rule)
{
    if (rule == m_rule) {
        return false;
    }
    m_rule = rule;
    return true;
}

bool VersionGuard::rejectsAll() const
{
    if (!m_rule) {
        return false;
    }
    return m_rule->mode == (m_rule->version == m_version ? VersionRule::Mode::Excluded : VersionRule::Mode::Only);
}

bool VersionGuard::isCanary() const
{
    return m_rule && m_rule->mode == VersionRule::Mode::Canary && m_rule->version == m_version;
}

std::string VersionGuard::rejectionReason(std::string_view intendedVersion) const
{
    if (rejectsAll()) {
        return "the rollout sends no calls to this target's version";
    }
    if (isCanary() && intendedVersion != m_version.value()) {
        return "this target's version only accepts calls that the rollout assigned to it";
    }
    return {};
}

}
