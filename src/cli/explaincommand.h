#pragma once

#include "cli/commands.h"

namespace Galenahill {

// Prints the lines about one call from the logs of nodes, in order of time.
Result<void> explain(const CommandOptions &options);

}
