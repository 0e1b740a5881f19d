// What callers record of connections that end, by which the soak judges lost calls.

#include "pipeliningcallers.h"

#include "adapters/http/asio.h"
#include "faultproxy.h"
#include "httptest.h"
#include "platform/callheadernames.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <thread>

using namespace Galenahill;

namespace {

const Endpoint ServerEndpoint{testAddress(63), 18162};
const Endpoint ProxyEndpoint{testAddress(63), 18163};
constexpr std::size_t BodyBytes = 1000;

// Long enough for the further requests of the callers to be sent.
constexpr Milliseconds ResponseTime{60};

std::string response(std::size_t bytes, const std::string &fields)
{
    return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n{}\r\n{}", BodyBytes, fields, std::string(bytes, 'x'));
}

// Accepts one connection, reads a request, sends the text and resets the connection later.
class Server
{
public:
    explicit Server(std::string text)
        : m_acceptor(m_context, Tcp::endpoint(asio::ip::make_address(ServerEndpoint.address), ServerEndpoint.port))
        , m_thread([this, text = std::move(text)] { serve(text); })
    {
    }

    ~Server()
    {
        m_thread.join();
    }

private:
    void serve(const std::string &text)
    {
        Tcp::socket socket(m_context);
        m_acceptor.accept(socket);
        m_acceptor.close();
        std::string request;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
        std::this_thread::sleep_for(ResponseTime);
        asio::write(socket, asio::buffer(text));
        std::this_thread::sleep_for(ResponseTime);
        socket.set_option(asio::socket_base::linger(true, 0));
    }

    asio::io_context m_context;
    Tcp::acceptor m_acceptor;
    std::thread m_thread;
};

PipeliningCallers::Options options(const Endpoint &ingress)
{
    return {.ingresses = {ingress},
        .kinds = {{.path = "/", .responseBytes = BodyBytes}},
        .connectionsPerIngress = 1,
        .ahead = 3,
        .maxPause = Milliseconds(1),
        .timeout = Milliseconds(2000),
        .length = Milliseconds(40),
        .headerNames = Platform::callHeaderNames(),
        .host = "h"};
}

// Records of the calls on the only connection, the oldest first.
std::vector<CallRecord> recordsOf(const std::string &text)
{
    const Server server(text);
    return PipeliningCallers(options(ServerEndpoint)).run();
}

}

// Guards against a judge that takes a response which was cut for one that did not begin.
BOOST_AUTO_TEST_CASE(RecordsWhatArrivedOfACutResponse)
{
    const auto records = recordsOf(response(BodyBytes / 4, ""));
    BOOST_REQUIRE(records.size() >= 2);
    BOOST_TEST((records[0].end == CallEnd::ClosedInResponse));
    BOOST_TEST(records[0].status == 200);
    BOOST_TEST(records[0].receivedBytes == BodyBytes / 4);
    BOOST_TEST((records[1].end == CallEnd::ClosedBeforeResponse));
}

// Guards against excusing requests on a connection that ends without notice, after a complete response.
BOOST_AUTO_TEST_CASE(RequestsOnAConnectionThatEndsWithoutNoticeAreClosed)
{
    const auto records = recordsOf(response(BodyBytes, ""));
    BOOST_REQUIRE(records.size() >= 2);
    BOOST_TEST((records[0].end == CallEnd::Response));
    BOOST_TEST((records[1].end == CallEnd::ClosedBeforeResponse));
}

// Guards against judging requests that the ingress has stated to ignore.
BOOST_AUTO_TEST_CASE(RequestsBehindAnAnnouncedCloseAreNotSent)
{
    const auto records = recordsOf(response(BodyBytes, "Connection: close\r\n"));
    BOOST_REQUIRE(records.size() >= 2);
    BOOST_TEST((records[0].end == CallEnd::Response));
    BOOST_TEST((records[1].end == CallEnd::NotSent));
}

// Guards against judging calls that a proxy took although the ingress had refused its connection.
BOOST_AUTO_TEST_CASE(CallsOnAConnectionThatOnlyAProxyAcceptedAreNotSent)
{
    FaultProxy proxy(ProxyEndpoint, ServerEndpoint);
    auto throughProxy = options(ProxyEndpoint);
    throughProxy.wasRefused = [&](std::size_t, std::uint16_t port) { return proxy.takeRefusal(port); };
    const auto records = PipeliningCallers(throughProxy).run();
    BOOST_REQUIRE(!records.empty());
    for (const auto &record : records) {
        BOOST_TEST((record.end == CallEnd::NotSent));
    }
}

// Guards against excusing calls on a connection that the ingress accepted and reset.
BOOST_AUTO_TEST_CASE(CallsOnAConnectionThatTheIngressResetBehindAProxyAreClosed)
{
    const Server server(std::string{});
    FaultProxy proxy(ProxyEndpoint, ServerEndpoint);
    auto throughProxy = options(ProxyEndpoint);
    throughProxy.wasRefused = [&](std::size_t, std::uint16_t port) { return proxy.takeRefusal(port); };
    const auto records = PipeliningCallers(throughProxy).run();
    BOOST_REQUIRE(!records.empty());
    BOOST_TEST((records[0].end == CallEnd::ClosedBeforeResponse));
}
