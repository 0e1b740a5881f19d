#pragma once

#include "adapters/http/httpmessage.h"
#include "common/endpoint.h"
#include "common/error.h"
#include "common/identifiers.h"

#include <atomic>

namespace Galenahill {

// Performs one HTTP exchange and blocks the calling thread meanwhile, for code that runs on a
// thread of its own. Errors are those of HttpClient::exchange. If `stop` is given, the wait
// ends early once it becomes true.
Result<HttpResponse> blockingExchange(const Endpoint &endpoint, HttpRequest request, Milliseconds timeLimit, const std::atomic<bool> *stop = nullptr);

}
