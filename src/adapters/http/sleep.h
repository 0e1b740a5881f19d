#pragma once

#include "adapters/http/asio.h"
#include "common/identifiers.h"

namespace Galenahill {

// Waits without blocking the thread.
asio::awaitable<void> sleepFor(asio::io_context &context, Milliseconds time);

}
