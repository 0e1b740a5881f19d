#include "adapters/log/jsonlogger.h"
#include "core/config/settingsreader.h"
#include "daemon/node.h"

#include <csignal>
#include <cstdlib>
#include <fmt/format.h>
#include <popt.h>

namespace {

constexpr int ExitUsage = 2;
constexpr int ExitFailure = 1;
constexpr const char *Version = "0.1.0";

using namespace Galenahill;

// The benchmarks alone set the variable. It isn't a key of the settings, so
// that no copied file can switch a decision off.
CallPolicy callPolicy()
{
    const char *names = std::getenv("GALENAHILL_BENCH_WITHOUT");
    return CallPolicy::withoutDecisions(names == nullptr ? "" : names);
}

int runNode(const NodeSettings &settings)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    // Blocked before any thread starts, so that only the wait below sees them.
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN); // NOLINT(bugprone-signal-handler,cert-err33-c)
    Node node({.settings = settings, .log = jsonLogger(settings.name.value(), logLevelOf(settings.logLevel)), .calls = callPolicy()});
    if (const auto started = node.start(); !started) {
        fmt::print(stderr, "{}\n", started.error().message);
        return ExitFailure;
    }
    int received = 0;
    sigwait(&signals, &received);
    node.stop();
    return 0;
}

}

int main(int argc, const char **argv)
{
    char *settingsPath = nullptr;
    int checkOnly = 0;
    int showVersion = 0;
    const poptOption options[] = {
        {"settings", 's', POPT_ARG_STRING, &settingsPath, 0, "Settings of this node", "FILE"},
        {"check", 'c', POPT_ARG_NONE, &checkOnly, 0, "Check the settings and exit", nullptr},
        {"version", 'V', POPT_ARG_NONE, &showVersion, 0, "Print the version and exit", nullptr},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    poptContext context = poptGetContext("galenahilld", argc, argv, options, 0);
    const int parsed = poptGetNextOpt(context);
    if (parsed < -1) {
        fmt::print(stderr, "galenahilld: {}: {}; see galenahilld --help\n", poptBadOption(context, POPT_BADOPTION_NOALIAS), poptStrerror(parsed));
        return ExitUsage;
    }
    if (showVersion != 0) {
        fmt::print("galenahilld {}\n", Version);
        return 0;
    }
    if (settingsPath == nullptr) {
        fmt::print(stderr, "galenahilld: --settings=FILE is missing; see galenahilld --help\n");
        return ExitUsage;
    }
    const auto settings = SettingsReader::readFile<NodeSettings>(settingsPath);
    poptFreeContext(context);
    if (!settings) {
        fmt::print(stderr, "{}\n", settings.error().message);
        return ExitUsage;
    }
    return checkOnly != 0 ? 0 : runNode(*settings);
}
