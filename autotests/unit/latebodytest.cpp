#include "pausedserver.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

// Guards against requests that end because a busy server does not read their bodies for a moment.
BOOST_AUTO_TEST_CASE(ServerThatReadsABodyLateGetsItCompletely)
{
    constexpr std::size_t BodyBytes = 16 * 1024 * 1024;
    OneConnection server([](Tcp::socket &socket) {
        std::this_thread::sleep_for(ServerPause);
        std::string received(64 * 1024, '\0');
        std::size_t total = 0;
        ErrorCode error;
        while (!error && total < BodyBytes) {
            total += socket.read_some(asio::buffer(received), error);
        }
        asio::write(socket, asio::buffer(std::string_view("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")), error);
    });
    HttpClient::Options options;
    options.unackedTimeout = ShortTimeout;
    BOOST_TEST(exchangeWithPausedServer(options, BodyBytes).first == 200U);
}
