#pragma once

#include "common/identifiers.h"

#include <cstddef>
#include <cstdint>

// Bounds that no configuration file lifts. Validation refuses what lies
// outside; the running code doesn't rely on that and applies them again.
namespace Galenahill::ConfigLimits {

inline constexpr std::size_t MaxFileBytes = 900 * 1024;
// All files together, as every node holds them in memory.
inline constexpr std::size_t MaxTotalBytes = 16 * 1024 * 1024;
inline constexpr std::size_t MaxLineBytes = 4096;
inline constexpr std::size_t MaxFileNameLength = 100;
// Faults that one refusal names; more would only scroll the first ones away.
inline constexpr std::size_t MaxFaults = 50;
inline constexpr std::uint32_t MaxSlots = 1024;
inline constexpr std::uint32_t MaxConnections = 65536;
inline constexpr Milliseconds MinTimeout{10};
inline constexpr Milliseconds MaxTimeout{60000};
inline constexpr std::uint32_t MaxRetries = 3;
inline constexpr std::uint32_t MaxTargets = 8;
inline constexpr std::uint32_t MaxWeight = 1000000;
inline constexpr std::uint32_t MaxPriority = 100;

}
