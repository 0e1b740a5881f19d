#pragma once

#include "ports/logger.h"

namespace Galenahill {

// A logger that writes one JSON object a line to standard error, with the
// time in milliseconds since the epoch, the level, the event and its fields.
// Events below the level are dropped. Usable from any thread.
Logger jsonLogger(std::string node, LogLevel least);

}
