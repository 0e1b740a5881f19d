#pragma once

#include "ports/logger.h"

#include <string>

namespace Galenahill {

// A logger that writes one JSON object a line to standard output, with the
// time in milliseconds since the epoch, the steady clock's time since the start,
// which orders the lines of one process whatever happens to the time of day, the
// level, the event and its fields.
// Events below the level are dropped. Usable from any thread.
//
// It never waits: of each event only so many lines a second are written, and
// lines for which the reader leaves no room are dropped. Each line says in
// "dropped" how many were lost since the one before it.
Logger jsonLogger(std::string node, LogLevel least);

// The level of that name; info if there is none such.
LogLevel logLevelOf(const std::string &name);

}
