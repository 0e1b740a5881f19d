#pragma once

#include "adapters/http/httpserver.h"

namespace Galenahill {

// Runs one HTTP server until SIGTERM or SIGINT. Returns the exit code of the process: 0, or 1 with
// an error message on standard error if it can't listen on the address.
int serveUntilStopped(asio::io_context &context, HttpServer::Options options);

}
