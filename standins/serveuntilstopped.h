#pragma once

#include "adapters/http/httpserver.h"

namespace Galenahill {

// Runs one HTTP server until SIGTERM or SIGINT and gives the process's exit
// code: 1 with a line on standard error if the address is taken.
int serveUntilStopped(asio::io_context &context, HttpServer::Options options);

}
