#pragma once

#include "common/endpoint.h"
#include "common/error.h"
#include "common/identifiers.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Galenahill {

// Arguments and options of the command line, without the command's name.
struct CommandOptions
{
    Endpoint node;
    std::vector<std::string> arguments;
    std::string name;
    std::string applyId;
    std::string operatorName;
    std::string basedOn;
    // A revision number, or a range A..B.
    std::string revision;
    // File to which the burn command writes its plot; empty for no plot.
    std::string plot;
    bool json = false;
    bool wait = false;
    Milliseconds waitTime{30000};
};

struct Command
{
    std::string synopsis;
    std::string description;
    std::size_t minArguments = 0;
    std::size_t maxArguments = 0;
    // Options that the command accepts besides the general ones.
    std::vector<std::string> options;
    std::function<Result<void>(const CommandOptions &)> run;
};

// All commands of galenahillctl by name.
const std::map<std::string, Command> &commands();

// Returns the exit code of the process for a failed command.
int exitCode(ErrorKind kind);

}
