#pragma once

#include "cli/commands.h"

namespace Galenahill {

// Prints the fleet's service-level burn as a table or JSON, and writes the
// plot if asked to. Says which nodes gave no report.
Result<void> burn(const CommandOptions &options);

}
