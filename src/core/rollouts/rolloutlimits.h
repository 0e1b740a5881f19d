#pragma once

#include "common/identifiers.h"

#include <cstddef>

// Limits for the values in rollout specs and in reports of other nodes.
namespace Galenahill::RolloutLimits {

inline constexpr Milliseconds MinDuration{1000};
inline constexpr Milliseconds MaxDuration{std::chrono::hours(24)};

inline constexpr std::size_t MaxNameBytes = 200;
inline constexpr std::size_t MaxReasonBytes = 300;

// Services with a rollout that a node tracks, and routes that it counts for each.
inline constexpr std::size_t MaxServices = 64;
inline constexpr std::size_t MaxRoutes = 16;

// Targets of one service whose counts are compared.
inline constexpr std::size_t MaxTargets = 2048;

}
