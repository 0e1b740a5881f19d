#pragma once

#include "core/config/configbundle.h"
#include "core/fleet/memberrecord.h"
#include "core/rollouts/versionrule.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace Galenahill {

// The targets of a service's canary version, and its share of the calls.
struct CanaryVersion
{
    TargetVersion version;
    double share = 0;
    std::vector<MemberRecord> targets;
};

// What one call is routed by from beginning to end: a configuration revision and the targets of
// its services. Immutable; a call that began on one view finishes on it, so it never sees half of
// a change.
struct RoutingView
{
    std::shared_ptr<const ConfigRevision> config;
    std::unordered_map<ServiceName, std::vector<MemberRecord>> targets;
    // Canary versions by service; `targets` does not contain their targets.
    std::unordered_map<ServiceName, CanaryVersion> canaries;

    // The targets of a service that accept calls.
    const std::vector<MemberRecord> &targetsOf(const ServiceName &service) const;

    // The canary of the service; null if there is none.
    const CanaryVersion *canaryOf(const ServiceName &service) const;

    // Groups the members by the services that the revision defines; members of other services, and
    // those that accept no calls, are left out.
    static std::shared_ptr<const RoutingView> build(
        std::shared_ptr<const ConfigRevision> config, const std::vector<MemberRecord> &members, const VersionRules &rules = {});

private:
    void add(const MemberRecord &member, const VersionRules &rules);
};

}
