#pragma once

#include "cli/commands.h"

namespace Galenahill {

// Prints the customers with their limits and the counts of the whole fleet, as a table or as JSON.
Result<void> customers(const CommandOptions &options);

}
