#include "adapters/http/connectionpool.h"
#include "pausedserver.h"

#include <boost/test/unit_test.hpp>
#include <linux/filter.h>
#include <netinet/tcp.h>

using namespace Galenahill;

namespace {

// Discards all segments that arrive on the connection before the kernel acknowledges them, as if the host
// had lost its network.
void disconnectFromNetwork(Tcp::socket &socket)
{
    sock_filter discard = BPF_STMT(BPF_RET | BPF_K, 0);
    const sock_fprog program{.len = 1, .filter = &discard};
    if (setsockopt(socket.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)) != 0) {
        throw std::runtime_error("can't attach a filter to the socket");
    }
}

void reconnectToNetwork(Tcp::socket &socket)
{
    const int unused = 0;
    if (setsockopt(socket.native_handle(), SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof(unused)) != 0) {
        throw std::runtime_error("can't detach the filter from the socket");
    }
}

HttpClient::Options optionsWithLimits()
{
    HttpClient::Options options;
    options.unackedTimeout = ShortTimeout;
    options.keepAliveProbes = true;
    return options;
}

constexpr std::size_t MoreThanTheWindow = 16 * 1024 * 1024;

// Longer than an exchange takes to fill the window, shorter than the first probe of a full one.
constexpr Milliseconds TimeToFillTheWindow{150};

// Below the deadline, and generous for busy machines; peersilencetest has the exact times.
constexpr Milliseconds LostPeerLimit{6000};

// Sends a request with a body of that length to a server that is lost after a pause, and checks that the
// exchange times out soon after the loss.
void checkThatLossIsFound(std::size_t bytes, Milliseconds pause)
{
    TimePoint lost;
    TimePoint found;
    std::string error;
    std::promise<void> ended;
    {
        OneConnection server([&](Tcp::socket &socket) {
            std::this_thread::sleep_for(pause);
            disconnectFromNetwork(socket);
            lost = Clock::now();
            ended.get_future().wait();
        });
        asio::io_context context(1);
        HttpClient client(context, optionsWithLimits());
        HttpRequest request(http::verb::post, "/", 11);
        request.body().assign(bytes, 'x');
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                const auto response = co_await client.exchange(PausedServerEndpoint, request, Clock::now() + TestTimeout, {});
                error = response ? "response" : response.error().message;
            },
            asio::detached);
        context.run();
        found = Clock::now();
        ended.set_value();
    }
    const auto duration = std::chrono::duration_cast<Milliseconds>(found - lost).count();
    BOOST_TEST_MESSAGE(duration << " ms after the loss: " << error);
    BOOST_TEST(duration < LostPeerLimit.count());
    BOOST_TEST(error.find("timed out") != std::string::npos);
}

int tcpOption(Tcp::socket &socket, int name)
{
    int value = -1;
    socklen_t length = sizeof(value);
    getsockopt(socket.native_handle(), IPPROTO_TCP, name, &value, &length);
    return value;
}

}

// Guards against requests that wait until their deadline for a host that is gone.
BOOST_AUTO_TEST_CASE(LostPeerIsFoundByUnacknowledgedBytes)
{
    checkThatLossIsFound(MoreThanTheWindow, Milliseconds(0));
}

// Guards against requests that wait until their deadline for a host that is lost while its receive window
// is full.
BOOST_AUTO_TEST_CASE(LostPeerIsFoundByUnansweredWindowProbes)
{
    checkThatLossIsFound(MoreThanTheWindow, TimeToFillTheWindow);
}

// Guards against a wait for a response that lasts until its deadline although the host is gone.
BOOST_AUTO_TEST_CASE(LostPeerIsFoundByUnansweredKeepAliveProbes)
{
    checkThatLossIsFound(0, TimeToFillTheWindow);
}

// Guards against a wait for a response that ends because a single keep-alive probe was lost.
BOOST_AUTO_TEST_CASE(SingleLostKeepAliveProbeIsNoLoss)
{
    constexpr Milliseconds FirstProbe{1000};
    constexpr Milliseconds SecondProbe{2000};
    OneConnection server([&](Tcp::socket &socket) {
        std::this_thread::sleep_for(TimeToFillTheWindow);
        disconnectFromNetwork(socket);
        std::this_thread::sleep_for(FirstProbe);
        reconnectToNetwork(socket);
        std::this_thread::sleep_for(SecondProbe);
        ErrorCode ignored;
        asio::write(socket, asio::buffer(std::string_view("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")), ignored);
    });
    BOOST_TEST(exchangeWithPausedServer(optionsWithLimits(), 0).first == 200U);
}

namespace {

// The values of TCP_USER_TIMEOUT and TCP_KEEPCNT of a new connection of a pool with these options.
std::pair<int, int> limitsOfAConnection(const ConnectionPool::Options &options)
{
    std::pair<int, int> limits{-1, -1};
    std::promise<void> ended;
    OneConnection server([&](Tcp::socket &) { ended.get_future().wait(); });
    asio::io_context context(1);
    ConnectionPool pool(context, options);
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            const auto connection = co_await pool.connect(pool.connectionsTo(PausedServerEndpoint), Clock::now() + TestTimeout);
            if (connection) {
                auto &socket = (*connection)->channel.socket;
                limits = {tcpOption(socket, TCP_USER_TIMEOUT), tcpOption(socket, TCP_KEEPCNT)};
            }
        },
        asio::detached);
    context.run();
    ended.set_value();
    return limits;
}

}

// Guards against a kernel timeout that also ends connections to reachable peers, and against a longer wait
// for a lost one in exchange for it.
BOOST_AUTO_TEST_CASE(UnansweredKeepAliveProbesReplaceTheKernelTimeout)
{
    const auto [userTimeout, keepAliveProbes] = limitsOfAConnection({.unackedTimeout = ShortTimeout, .keepAliveProbes = true});
    BOOST_TEST(userTimeout == 0);
    BOOST_TEST(keepAliveProbes == 2);
}

// Guards against lost peers that aren't found where the system doesn't provide TCP_INFO.
BOOST_AUTO_TEST_CASE(KernelTimeoutIsSetWithoutTcpInfo)
{
    const auto limits = limitsOfAConnection({.unackedTimeout = ShortTimeout, .readSnapshot = [](int) { return std::optional<TcpSnapshot>(); }});
    BOOST_TEST(limits.first == ShortTimeout.count());
}
