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

bool VersionGuard::isShut() const
{
    if (!m_rule) {
        return false;
    }
    return m_rule->mode == (m_rule->version == m_version ? VersionRule::Mode::Excluded : VersionRule::Mode::Only);
}

bool VersionGuard::isOnTrial() const
{
    return m_rule && m_rule->mode == VersionRule::Mode::Trial && m_rule->version == m_version;
}

std::string VersionGuard::refusal(std::string_view intendedVersion) const
{
    if (isShut()) {
        return "the rollout sends no calls to this target's version";
    }
    if (isOnTrial() && intendedVersion != m_version.value()) {
        return "this target's version only accepts calls that the rollout assigned to it";
    }
    return {};
}

}
