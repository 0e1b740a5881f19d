#pragma once

#include "cli/commands.h"

namespace Galenahill {

// Prints the lines that differ between a local file and the file in force, or between two revisions.
Result<void> diff(const CommandOptions &options);

}
