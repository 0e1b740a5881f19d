#include "daemon/daemonarguments.h"

#include <fmt/format.h>
#include <popt.h>

namespace Galenahill {

namespace {

constexpr int ExitUsage = 2;
constexpr const char *Version = "0.1.0";

}

ParsedArguments parseDaemonArguments(const std::string &program, int argc, const char **argv, const std::string &settingsPath)
{
    char *path = nullptr;
    int checkOnly = 0;
    int showVersion = 0;
    const poptOption options[] = {
        {"settings", 's', POPT_ARG_STRING, &path, 0, "Settings of this node", "FILE"},
        {"check", 'c', POPT_ARG_NONE, &checkOnly, 0, "Check the settings and exit", nullptr},
        {"version", 'V', POPT_ARG_NONE, &showVersion, 0, "Print the version and exit", nullptr},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    poptContext context = poptGetContext(program.c_str(), argc, argv, options, 0);
    const int parsed = poptGetNextOpt(context);
    if (parsed < -1) {
        fmt::print(stderr, "{}: {}: {}; see {} --help\n", program, poptBadOption(context, POPT_BADOPTION_NOALIAS), poptStrerror(parsed), program);
        poptFreeContext(context);
        return {.exitCode = ExitUsage};
    }
    poptFreeContext(context);
    if (showVersion != 0) {
        fmt::print("{} {}\n", program, Version);
        return {.exitCode = 0};
    }
    DaemonArguments arguments{.settingsPath = path != nullptr ? path : settingsPath, .checkOnly = checkOnly != 0};
    if (arguments.settingsPath.empty()) {
        fmt::print(stderr, "{}: --settings=FILE is missing; see {} --help\n", program, program);
        return {.exitCode = ExitUsage};
    }
    return {.arguments = std::move(arguments)};
}

}
