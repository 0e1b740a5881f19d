#pragma once

#include "common/identifiers.h"

#include <cstdint>
#include <string>

namespace Galenahill {

// An operator's order to move a service's calls to the targets of a version.
struct RolloutOrder
{
    ServiceName service;
    TargetVersion version;
    // Time in which the move, or its withdrawal, has to be done.
    Milliseconds duration{0};
    // The store's version at which the order was created. Tells apart two orders
    // that read alike.
    ObjectVersion created;

    friend bool operator==(const RolloutOrder &, const RolloutOrder &) = default;
};

// How far a rollout is; a later stage never turns into an earlier one.
enum class RolloutStage : std::uint8_t {
    // The version gets a small share of the calls, and is compared.
    Running,
    // It passed, and its share grows up to all calls.
    Promoting,
    // It gets no more calls.
    CutOff,
    // The store holds that it was withdrawn.
    RolledBack,
    // The store holds that it replaced the old version.
    Succeeded,
};

std::string toString(RolloutStage stage);

// Whether the store holds this stage as the end of the rollout.
bool isFinal(RolloutStage stage);

// What a node knows of the last order for one service.
struct RolloutRecord
{
    RolloutOrder order;
    // Highest version of the store at which the order was read. A later order has a
    // higher one.
    ObjectVersion seen;
    RolloutStage stage = RolloutStage::Running;
    // Time since a node first read the order.
    std::uint32_t ageMs = 0;
    // The age at which the promotion began.
    std::uint32_t promotedAtMs = 0;
    // Why the version was cut off.
    std::string reason;
};

// What merging a record that another node told did to the own one.
enum class RolloutMerge {
    Nothing,
    // The same order is at a later stage.
    Stage,
    // It is another, later order.
    Order,
};

// Takes over what the other record knows better. Gives the same result whatever the
// order, and however often, records are merged.
RolloutMerge mergeRollout(RolloutRecord &held, const RolloutRecord &heard);

// Whether a node can have said this: names are bounded and the times in range.
bool isPlausible(const RolloutRecord &record);

template <typename Inspector>
auto inspect(Inspector &inspector, RolloutRecord &record)
{
    auto duration = static_cast<std::uint64_t>(record.order.duration.count());
    auto result = inspector(record.order.service,
        record.order.version,
        duration,
        record.order.created,
        record.seen,
        record.stage,
        record.ageMs,
        record.promotedAtMs,
        record.reason);
    record.order.duration = Milliseconds(static_cast<std::int64_t>(duration));
    return result;
}

}
