#pragma once

#include "core/config/settingsreader.h"

#include <cstdio>
#include <fmt/format.h>
#include <functional>
#include <optional>
#include <string>

namespace Galenahill {

// Arguments from a daemon's command line.
struct DaemonArguments
{
    std::string settingsPath;
    // Check the settings and exit.
    bool checkOnly = false;
};

// The arguments; or an exit code, if the command line was invalid or asked for the
// version. The message has been printed then.
struct ParsedArguments
{
    std::optional<int> exitCode;
    DaemonArguments arguments;
};

// Parses the command line. `program` is the name used in messages, `settingsPath` the
// settings file to use if the command line names none; it may be empty.
ParsedArguments parseDaemonArguments(const std::string &program, int argc, const char **argv, const std::string &settingsPath = {});

// Reads the settings and runs the daemon, unless the settings are only to be checked.
// Returns the exit code.
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
