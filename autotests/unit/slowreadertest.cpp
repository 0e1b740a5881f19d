// Responses to peers that read slowly. The server gives up only those who take hardly anything.

#include "httptest.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace Galenahill;

namespace {

const Endpoint ServerEndpoint{testAddress(62), 18162};

constexpr Milliseconds TimeLimit{500};
constexpr Milliseconds ReadInterval{50};
constexpr std::size_t ReadBytes = 4 * 1024;
constexpr int ReceiveBuffer = 4096;
// Far more than both kernels buffer.
constexpr std::size_t ResponseBytes = 8 * 1024 * 1024;
// How much of it a peer reads slowly; it takes several time limits.
constexpr std::size_t SlowBytes = 160 * 1024;

class GeneratedBody : public BodySource
{
public:
    asio::awaitable<ErrorCode> read(std::string &part, std::size_t limit) override
    {
        part.append(std::min(limit, m_left), 'x');
        m_left -= part.size();
        co_return ErrorCode();
    }

    bool done() const override
    {
        return m_left == 0;
    }

    bool readStarted() const override
    {
        return m_left < ResponseBytes;
    }

    std::optional<std::uint64_t> length() const override
    {
        return ResponseBytes;
    }

private:
    std::size_t m_left = ResponseBytes;
};

struct Fixture
{
    RunningServer server{HttpServer::Options{.endpoint = ServerEndpoint,
        .handler = [](HttpRequest request, ServerConnection &connection) { return handle(std::move(request), connection); },
        .readTimeout = TimeLimit}};

    static asio::awaitable<HttpResponse> handle(HttpRequest request, ServerConnection &connection)
    {
        auto response = makeResponse(http::status::ok, "text/plain", {});
        if (request.target() == "/streamed") {
            GeneratedBody body;
            co_await connection.sendStreamed(std::move(response), body);
        } else {
            response.body().assign(ResponseBytes, 'x');
        }
        co_return response;
    }

    // Whether the peer gets the complete response if it reads a part of it slowly, and the rest at once.
    static bool receives(const std::string &target)
    {
        RawClient peer(ServerEndpoint, ReceiveBuffer);
        peer.send(fmt::format("GET {} HTTP/1.1\r\nHost: h\r\n\r\n", target));
        bool open = !peer.readTo("\r\n\r\n").empty();
        for (std::size_t read = 0; open && read < SlowBytes; read += ReadBytes) {
            std::this_thread::sleep_for(ReadInterval);
            open = peer.skip(ReadBytes);
        }
        return open && peer.skip(ResponseBytes - SlowBytes);
    }
};

}

// Guards against a response that is cut although its peer reads it steadily.
BOOST_FIXTURE_TEST_CASE(SteadyReaderReceivesALongResponse, Fixture)
{
    BOOST_TEST(receives("/buffered"));
}

// Guards against the same for a response whose parts each have a time limit.
BOOST_FIXTURE_TEST_CASE(SteadyReaderReceivesAStreamedResponse, Fixture)
{
    BOOST_TEST(receives("/streamed"));
}

// Guards against peers that keep a connection and its memory for ever.
BOOST_FIXTURE_TEST_CASE(PeerThatReadsNothingIsGivenUp, Fixture)
{
    RawClient peer(ServerEndpoint, ReceiveBuffer);
    peer.send("GET /streamed HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(server.waitUntil([](HttpServer &it) { return it.requestsInFlight() == 1; }));
    BOOST_TEST(server.waitUntil([](HttpServer &it) { return it.requestsInFlight() == 0 && it.connections() == 0; }));
}
