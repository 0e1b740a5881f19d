#pragma once

#include "core/config/settingsreader.h"

#include <cstdio>
#include <fmt/format.h>
#include <functional>
#include <optional>
#include <string>

namespace Galenahill {

// What the command line of a daemon says.
struct DaemonArguments
{
    std::string settingsPath;
    // Check the settings and exit.
    bool checkOnly = false;
};

// The command line, or the exit code where it can't be used or asked for the
// version, which has been said then.
struct ParsedArguments
{
    std::optional<int> exitCode;
    DaemonArguments arguments;
};

// Reads the command line. `program` is the name in messages, `settingsPath` the
// settings file if the command line names none; it may be empty.
ParsedArguments parseDaemonArguments(const std::string &program, int argc, const char **argv, const std::string &settingsPath = {});

// Reads command line and settings, and runs the daemon with them unless they were
// only to be checked. Gives the exit code.
template <typename Settings>
int runDaemon(const ParsedArguments &parsed, const std::function<int(const Settings &settings, const std::string &path)> &run)
{
    constexpr int ExitUsage = 2;
    if (parsed.exitCode) {
        return *parsed.exitCode;
    }
    const auto &path = parsed.arguments.settingsPath;
    const auto settings = SettingsReader::readFile<Settings>(path);
    if (!settings) {
        fmt::print(stderr, "{}\n", settings.error().message);
        return ExitUsage;
    }
    return parsed.arguments.checkOnly ? 0 : run(*settings, path);
}

}
