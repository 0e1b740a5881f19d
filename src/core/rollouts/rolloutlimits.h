#pragma once

#include "common/identifiers.h"

#include <cstddef>

// Bounds of what a rollout's order, and reports of other nodes, may say.
namespace Galenahill::RolloutLimits {

inline constexpr Milliseconds MinDuration{1000};
inline constexpr Milliseconds MaxDuration{std::chrono::hours(24)};

inline constexpr std::size_t MaxNameBytes = 200;
inline constexpr std::size_t MaxReasonBytes = 300;

// Services with an order that a node keeps, and routes that it counts for each.
inline constexpr std::size_t MaxServices = 64;
inline constexpr std::size_t MaxRoutes = 16;

// Targets of one service that are compared.
inline constexpr std::size_t MaxTargets = 2048;

}
