#pragma once

#include "cli/commands.h"

namespace Galenahill {

// Prints what the logs of nodes say about one call.
Result<void> explain(const CommandOptions &options);

}
