#include "daemon/platformnodeprocess.h"

#include "adapters/log/jsonlogger.h"
#include "core/config/settingsreader.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <fmt/format.h>

namespace Galenahill {

namespace {

constexpr int ExitFailure = 1;

asio::awaitable<void> handleSignals(asio::signal_set &signals, PlatformNode &node, std::string path, Logger log)
{
    for (;;) {
        const auto received = co_await signals.async_wait(asio::use_awaitable);
        if (received != SIGHUP) {
            node.stop();
            continue;
        }
        if (const auto settings = SettingsReader::readFile<PlatformNodeSettings>(path)) {
            node.reload(*settings);
        } else {
            log(LogLevel::Error, "reload-refused", {{"reason", settings.error().message}});
        }
    }
}

}

int runPlatformNode(const PlatformNodeSettings &settings, const std::string &path, PlatformNode::Options options)
{
    signal(SIGPIPE, SIG_IGN); // NOLINT(bugprone-signal-handler,cert-err33-c)
    const auto log = jsonLogger(settings.name.value(), logLevelOf(settings.logLevel));
    options.settings = settings;
    options.log = log;
    asio::io_context context(1);
    PlatformNode node(context, std::move(options));
    if (const auto started = node.start(); !started) {
        fmt::print(stderr, "{}\n", started.error().message);
        return ExitFailure;
    }
    asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
    asio::co_spawn(context, handleSignals(signals, node, path, log), asio::detached);
    context.run();
    // Coroutines that are still suspended belong to abandoned calls. Destroying them one
    // by one has no use and has taken longer than the stop timeout, so exit at once.
    std::quick_exit(0);
}

}
