#pragma once

#include "ports/logger.h"

#include <string>

namespace Galenahill {

// Makes a logger that writes one JSON object per line to standard output: the time in milliseconds
// since the epoch, the monotonic clock's time since the start, which orders the lines of a process
// even if the system clock is set, the level, the event and its fields.
// Events below the minimum level are ignored. Usable from any thread.
//
// It never blocks: the lines of each event are rate-limited, and lines are dropped while the reader
// of the output is too slow. The next line states in "dropped" how many were lost before it.
Logger jsonLogger(std::string node, LogLevel minLevel);

// The level of that name; Info if the name is unknown.
LogLevel logLevelOf(const std::string &name);

}
