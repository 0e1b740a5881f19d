#pragma once

#include "core/rollouts/evidencetable.h"
#include "core/rollouts/shareplan.h"
#include "core/rollouts/versioncensus.h"
#include "core/rollouts/versionrule.h"
#include "core/rollouts/versiontest.h"

#include <optional>
#include <string>

namespace Galenahill {

// One order, how far it is, and the evidence about its version.
class RolloutEntry
{
public:
    // What is known of the order at that moment.
    RolloutEntry(RolloutRecord record, SharePlan::Options plan, TimePoint now);

    // An order that had begun before this node heard of it. Its version gets no calls
    // until another node tells what it knows.
    void awaitEvidence();

    // Begins anew if no node has told in time: all were restarted. The plan of shares
    // leaves room for that.
    void tick(TimePoint now);

    // All targets have the version: there is nothing to move.
    void supposeInForce();

    // The record with the age that it has now.
    RolloutRecord record(TimePoint now) const;
    const RolloutOrder &order() const;
    RolloutStage stage() const;
    SharePlan::Step step(TimePoint now) const;

    // Whether reports of this order still tell anything new.
    bool isActive(TimePoint now) const;

    // Whether other nodes may be told: not of one whose evidence is awaited.
    bool isCertain() const;

    // Takes over what another node tells. Of another, later order nothing is taken;
    // the caller replaces the entry.
    RolloutMerge merge(const RolloutRecord &heard, TimePoint now);
    bool merge(const TargetCounts &counts, TimePoint now);

    // Takes over what the store holds; says whether the stage changed.
    bool takeStored(ObjectVersion version, std::optional<RolloutStage> stage, TimePoint now);

    // The version gets no more calls.
    bool cutOff(std::string reason, TimePoint now);

    // Looks at the evidence, and moves on if it is time to; says whether it did.
    bool judge(const VersionCensus &census, TimePoint now);

    // The stage that the store should hold, if it holds another.
    std::optional<RolloutStage> wantedInStore(const VersionCensus &census, TimePoint now) const;

    std::optional<VersionRule> rule(const VersionCensus &census, TimePoint now) const;

    const VersionTest &test() const;

private:
    bool moveTo(RolloutStage stage, std::string reason, TimePoint now);
    bool isProven(const VersionCensus &census) const;
    bool othersRetired(const VersionCensus &census, TimePoint now) const;
    std::vector<NodeName> loadedTargets(const SharePlan::Step &step, const VersionCensus &census) const;

    RolloutRecord m_record;
    SharePlan m_plan;
    TimePoint m_begun;
    TimePoint m_since;
    TimePoint m_lastObserved;
    bool m_awaitsEvidence = false;
    bool m_inForce = false;
    std::optional<RolloutStage> m_stored;
    EvidenceTable m_evidence;
    VersionTest m_test;
};

}
