#pragma once

#include "common/error.h"

#include <string>
#include <vector>

namespace Galenahill {

// One option of the command line as help describes it.
struct OptionHelp
{
    std::string name;
    char shortName = 0;
    // What stands for the value; empty if the option takes none.
    std::string argument;
    std::string text;
    // Whether every command takes it.
    bool general = false;
};

// The manual page of a command, as `galenahillctl COMMAND --help` prints it and
// docs/manual keeps it. Invalid if there is no such command.
Result<std::string> manualPage(const std::string &command, const std::vector<OptionHelp> &options);

}
