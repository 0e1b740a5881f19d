#pragma once

#include "core/rollouts/versionrule.h"

#include <optional>
#include <string>
#include <string_view>

namespace Galenahill {

// Keeps calls away from a target whose version a rollout leaves without them. Also where
// the ingress doesn't know of the rollout yet: the shares hold at each target.
class VersionGuard
{
public:
    void setVersion(const TargetVersion &version);

    // Says whether the rule is another one than before.
    bool setRule(const std::optional<VersionRule> &rule);

    // Whether the target gets no calls at all, or only those of its trial.
    bool isShut() const;
    bool isOnTrial() const;

    // Why a call meant for that version is refused; empty: it isn't. An empty version:
    // the call is meant for none in particular.
    std::string refusal(std::string_view meantFor) const;

private:
    TargetVersion m_version;
    std::optional<VersionRule> m_rule;
};

}
