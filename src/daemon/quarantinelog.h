#pragma once

#include "core/quarantine/quarantine.h"
#include "ports/logger.h"

namespace Galenahill {

// Logs that a request became suspect, quarantined or clear.
void logQuarantineChange(const Logger &log, const QuarantineChange &change);

}
