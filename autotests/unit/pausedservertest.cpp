#include "pausedserver.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

// Guards against responses that end before their deadline because the server is silent for a moment.
BOOST_AUTO_TEST_CASE(ServerThatPausesInAResponseIsAwaitedUntilTheDeadline)
{
    constexpr std::size_t Half = 1024 * 1024;
    OneConnection server([](Tcp::socket &socket) {
        ErrorCode error;
        // Closing with unread bytes would reset the connection.
        std::string request(4096, '\0');
        socket.read_some(asio::buffer(request), error);
        const std::string half(Half, 'x');
        asio::write(socket, asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(2 * Half) + "\r\n\r\n" + half), error);
        std::this_thread::sleep_for(ServerPause);
        asio::write(socket, asio::buffer(half), error);
    });
    HttpClient::Options options;
    options.partTimeout = ShortTimeout;
    BOOST_TEST(exchangeWithPausedServer(options, 0).second == 2 * Half);
}
