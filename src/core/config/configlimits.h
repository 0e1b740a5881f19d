#pragma once

#include "common/identifiers.h"

#include <cstddef>
#include <cstdint>

// Limits that no configuration file can raise. Validation rejects values outside of them; the
// running code doesn't rely on that and enforces them again.
namespace Galenahill::ConfigLimits {

inline constexpr std::size_t MaxFileBytes = 900 * 1024;
// All files together; every node holds them in memory.
inline constexpr std::size_t MaxTotalBytes = 16 * 1024 * 1024;
inline constexpr std::size_t MaxLineBytes = 4096;
inline constexpr std::size_t MaxFileNameLength = 100;
// Maximum number of errors listed in one rejection; more would scroll the first ones off the
// screen.
inline constexpr std::size_t MaxErrors = 50;
inline constexpr std::uint32_t MaxSlots = 1024;
inline constexpr std::uint32_t MaxConnections = 65536;
inline constexpr Milliseconds MinTimeout{10};
inline constexpr Milliseconds MaxTimeout{60000};
inline constexpr std::uint32_t MaxRetries = 3;
inline constexpr std::uint32_t MaxTargets = 8;
inline constexpr std::uint32_t MaxWeight = 1000000;
inline constexpr std::uint32_t MaxPriority = 100;
inline constexpr std::size_t MaxCustomers = 10000;

}
