#pragma once

#include "daemon/calls/attemptrace.h"

#include <exception>

namespace Galenahill {

// State of a slow attempt's replacement. Shared by the coroutines of both attempts; what it refers to
// is valid until the call ends, which waits for both.
struct AttemptReplacement
{
    explicit AttemptReplacement(const asio::any_io_executor &executor)
        : timer(executor)
        , ended(executor)
    {
    }

    AttemptRace race;
    // Expires when the next offer is due.
    asio::steady_timer timer;
    // Cancelled when the coroutine that offers the replacement ends.
    asio::steady_timer ended;
    bool running = false;
    std::exception_ptr failure;
    // The request with the fields of the replacement.
    HttpRequest request;
    NodeName target;
    std::optional<AttemptConnection> connection;
    Attempt attempt;
};

}
