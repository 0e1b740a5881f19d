#pragma once

#include "core/rollouts/versionrule.h"

#include <optional>
#include <string>
#include <string_view>

namespace Galenahill {

// Rejects calls at a target whose version gets none or only a share by the rule of a rollout. This
// also holds for calls of an ingress that doesn't know of the rollout yet, since the rule is
// enforced at each target.
class VersionGuard
{
public:
    void setVersion(const TargetVersion &version);

    // Returns whether the rule changed.
    bool setRule(const std::optional<VersionRule> &rule);

    // Whether the target gets no calls at all, and whether it gets only those assigned to its
    // version.
    bool rejectsAll() const;
    bool isCanary() const;

    // The reason for rejecting a call that is intended for that version; empty: the call is
    // accepted. An empty version means that the call is intended for no particular one.
    std::string rejectionReason(std::string_view intendedVersion) const;

private:
    TargetVersion m_version;
    std::optional<VersionRule> m_rule;
};

}
