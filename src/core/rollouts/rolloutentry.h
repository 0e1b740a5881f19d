#pragma once

#include "core/rollouts/shareplan.h"
#include "core/rollouts/targetcounttable.h"
#include "core/rollouts/targetsbyversion.h"
#include "core/rollouts/versionrule.h"
#include "core/rollouts/versiontest.h"

#include <optional>
#include <string>

namespace Galenahill {

// One rollout: its spec, its stage, and the call counts by which its version is evaluated.
class RolloutEntry
{
public:
    // Starts with what is known about the rollout at that time.
    RolloutEntry(RolloutRecord record, SharePlan::Options plan, TimePoint now);

    // Marks a rollout that had started before this node learnt of it. Its version gets no calls
    // until another node reports its record.
    void awaitPeerRecords();

    // Restarts the rollout if no node has reported its record in time, which means that all nodes
    // were restarted. The share plan leaves time for that.
    void tick(TimePoint now);

    // All targets already have the version, so there are no calls to move.
    void assumeInForce();

    // The record with its current age.
    RolloutRecord record(TimePoint now) const;
    const RolloutSpec &spec() const;
    RolloutStage stage() const;
    SharePlan::Step step(TimePoint now) const;

    // Whether reports of this rollout may still contain something new.
    bool isActive(TimePoint now) const;

    // Whether the record may be reported to other nodes; false while it waits for their records.
    bool isReportable() const;

    // Merges a record of another node. If it belongs to a later spec, nothing is merged and the
    // caller replaces the entry.
    RolloutMerge merge(const RolloutRecord &remote, TimePoint now);
    bool merge(const TargetCounts &counts, TimePoint now);

    // Merges what the store holds; returns whether the stage changed.
    bool mergeStored(ObjectVersion version, std::optional<RolloutStage> stage, TimePoint now);

    // Stops all calls to the version.
    bool cutOff(std::string reason, TimePoint now);

    // Evaluates the call counts and advances the stage if that is due; returns whether it did.
    bool evaluate(const TargetsByVersion &targets, TimePoint now);

    // The stage that has to be written to the store; none if the store holds it already.
    std::optional<RolloutStage> pendingStage(const TargetsByVersion &targets, TimePoint now) const;

    std::optional<VersionRule> rule(const TargetsByVersion &targets, TimePoint now) const;

    const VersionTest &test() const;

private:
    bool moveTo(RolloutStage stage, std::string reason, TimePoint now);
    bool isReadyToPromote(const TargetsByVersion &targets) const;
    bool otherVersionsRetired(const TargetsByVersion &targets, TimePoint now) const;
    std::vector<NodeName> loadPhaseTargets(const SharePlan::Step &step, const TargetsByVersion &targets) const;

    RolloutRecord m_record;
    SharePlan m_plan;
    TimePoint m_begun;
    TimePoint m_stageSince;
    TimePoint m_lastEvaluated;
    bool m_awaitsPeerRecords = false;
    bool m_inForce = false;
    std::optional<RolloutStage> m_stored;
    TargetCountTable m_counts;
    VersionTest m_test;
};

}
