#pragma once

// Boost 1.74's awaitable.hpp uses std::exchange without including <utility>, so this header must be
// included before any other header of Asio.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Galenahill {

namespace asio = boost::asio;
using Tcp = boost::asio::ip::tcp;
using Udp = boost::asio::ip::udp;
using ErrorCode = boost::system::error_code;

}
