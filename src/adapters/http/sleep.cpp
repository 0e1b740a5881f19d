#include "adapters/http/sleep.h"

namespace Galenahill {

asio::awaitable<void> sleepFor(asio::io_context &context, Milliseconds time)
{
    asio::steady_timer timer(context, time);
    ErrorCode ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}
