#include "adapters/log/jsonlogger.h"
#include "core/config/settingsreader.h"
#include "daemon/daemonarguments.h"
#include "daemon/node.h"
#include "platform/objectstore.h"

#include <csignal>
#include <cstdlib>
#include <fmt/format.h>

namespace {

constexpr int ExitFailure = 1;

using namespace Galenahill;

// Only the benchmarks set this variable. It is not a settings key, so that no copied
// settings file can disable a decision.
CallPolicy callPolicy()
{
    const char *names = std::getenv("GALENAHILL_BENCH_WITHOUT");
    return CallPolicy::withToggled(names == nullptr ? "" : names);
}

int runNode(const NodeSettings &settings)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    // Blocked before any thread starts, so that only sigwait below receives them.
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN); // NOLINT(bugprone-signal-handler,cert-err33-c)
    const auto openStore
        = [&settings](HttpClient &client) { return std::make_unique<Platform::ObjectStoreClient>(client, settings.store, settings.storeTimeout); };
    Node node({.settings = settings, .openStore = openStore, .log = jsonLogger(settings.name.value(), logLevelOf(settings.logLevel)), .calls = callPolicy()});
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
    return runDaemon<NodeSettings>(
        parseDaemonArguments("galenahilld", argc, argv), [](const NodeSettings &settings, const std::string &) { return runNode(settings); });
}
