#include "serveuntilstopped.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fmt/format.h>

namespace Galenahill {

int serveUntilStopped(asio::io_context &context, HttpServer::Options options)
{
    HttpServer server(context, std::move(options));
    if (const auto listening = server.listen(); !listening) {
        fmt::print(stderr, "{}\n", listening.error().message);
        return 1;
    }
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](auto, auto) { context.stop(); });
    context.run();
    return 0;
}

}
