#pragma once

#include "common/identifiers.h"

#include <cstdint>
#include <string>

namespace Galenahill {

// An operator's request to move a service's calls to the targets of another version.
struct RolloutSpec
{
    ServiceName service;
    TargetVersion version;
    // Time within which the rollout has to succeed or be rolled back.
    Milliseconds duration{0};
    // The store's version at which the spec was created; distinguishes two specs that are otherwise
    // equal.
    ObjectVersion created;

    friend bool operator==(const RolloutSpec &, const RolloutSpec &) = default;
};

// Stages of a rollout; a rollout never returns to an earlier one.
enum class RolloutStage : std::uint8_t {
    // The version gets a small share of the calls and is compared with the other versions.
    Running,
    // The version passed the comparison, and its share grows up to all calls.
    Promoting,
    // The version gets no more calls.
    CutOff,
    // The store records that the rollout was rolled back.
    RolledBack,
    // The store records that the version replaced the old one.
    Succeeded,
};

std::string toString(RolloutStage stage);

// Whether the stage ends the rollout; the store holds that stage by then.
bool isFinal(RolloutStage stage);

// What a node knows about the latest rollout of one service.
struct RolloutRecord
{
    RolloutSpec spec;
    // Highest version of the store at which the spec was read. A later spec has a higher one.
    ObjectVersion storeVersion;
    RolloutStage stage = RolloutStage::Running;
    // Time since any node first read the spec.
    std::uint32_t ageMs = 0;
    // The age at which the promotion started.
    std::uint32_t promotedAtMs = 0;
    // Why the version was cut off.
    std::string reason;
};

// Effect of merging another node's record into the local one.
enum class RolloutMerge {
    Nothing,
    // The same spec reached a later stage.
    Stage,
    // The record belongs to another, later spec.
    Spec,
};

// Merges another node's record into the local one. The result doesn't depend on the order in which
// records are merged, nor on how often.
RolloutMerge mergeRollout(RolloutRecord &local, const RolloutRecord &remote);

// Whether the record is valid: names within their length limit and times in range.
bool isValidRecord(const RolloutRecord &record);

template <typename Inspector>
auto inspect(Inspector &inspector, RolloutRecord &record)
{
    auto duration = static_cast<std::uint64_t>(record.spec.duration.count());
    auto result = inspector(record.spec.service,
        record.spec.version,
        duration,
        record.spec.created,
        record.storeVersion,
        record.stage,
        record.ageMs,
        record.promotedAtMs,
        record.reason);
    record.spec.duration = Milliseconds(static_cast<std::int64_t>(duration));
    return result;
}

}
