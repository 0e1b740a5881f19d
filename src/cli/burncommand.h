#pragma once

#include "cli/commands.h"

namespace Galenahill {

// Prints the error budget burn rates of the whole fleet as a table or as JSON, and writes the plot
// if --plot is given. Names the nodes that sent no report.
Result<void> burn(const CommandOptions &options);

}
