#pragma once

#include "common/error.h"

#include <string>
#include <vector>

namespace Galenahill {

// Description of a command-line option for the manual page.
struct OptionHelp
{
    std::string name;
    char shortName = 0;
    // Placeholder of the value, such as FILE; empty if the option takes no value.
    std::string argument;
    std::string text;
    // Whether every command accepts the option.
    bool general = false;
};

// Returns the manual page of a command, which `galenahillctl COMMAND --help` prints and docs/manual
// holds. Fails with Invalid if there is no such command.
Result<std::string> manualPage(const std::string &command, const std::vector<OptionHelp> &options);

}
