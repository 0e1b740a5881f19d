#pragma once

#include "common/endpoint.h"
#include "common/error.h"
#include "common/identifiers.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Galenahill {

// What the command line says apart from the command's name.
struct CommandOptions
{
    Endpoint node;
    std::vector<std::string> arguments;
    std::string name;
    std::string applyId;
    std::string operatorName;
    std::string basedOn;
    // One revision's number, or two as A..B.
    std::string revision;
    // File for the plot of the burn command; empty: no plot.
    std::string plot;
    bool json = false;
    bool wait = false;
    Milliseconds waitTime{30000};
};

// One command of galenahillctl.
struct Command
{
    std::string synopsis;
    std::string description;
    std::size_t arguments = 0;
    std::size_t mostArguments = 0;
    // Options that it takes beside those that every command takes.
    std::vector<std::string> options;
    std::function<Result<void>(const CommandOptions &)> run;
};

// All commands by name.
const std::map<std::string, Command> &commands();

// The process's exit code for a failure.
int exitCode(ErrorKind kind);

}
