#pragma once

#include "adapters/http/httpmessage.h"
#include "common/endpoint.h"
#include "common/error.h"
#include "common/identifiers.h"

#include <atomic>

namespace Galenahill {

// One HTTP exchange that blocks the calling thread, for code that runs on a
// thread of its own. Errors are those of HttpClient::exchange. `stop`, when
// given, ends the wait early.
Result<HttpResponse> blockingExchange(const Endpoint &endpoint, HttpRequest request, Milliseconds timeLimit, const std::atomic<bool> *stop = nullptr);

}
