#include "httptest.h"

#include <boost/asio/read_until.hpp>
#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

const Endpoint Here{testAddress(10), 18100};
const std::string Body(60000, 'b');

// A server that asks for offered bodies as it likes, and counts connections.
struct Fixture
{
    std::atomic<bool> takes = false;
    std::atomic<bool> leavesHalf = false;
    std::atomic<std::size_t> bodyBytes = 0;
    HttpServer::Options options{.endpoint = Here,
        .handler = [this](HttpRequest request, ServerConnection &connection) { return handle(std::move(request), connection); },
        .streamBodies = true,
        .peersWaitForContinue = true};

    asio::awaitable<HttpResponse> handle(HttpRequest request, ServerConnection &connection)
    {
        auto *body = connection.requestBody();
        ErrorCode error;
        while (takes && body != nullptr && !body->done() && !error) {
            error = co_await body->read(request.body(), 16384);
            if (leavesHalf) {
                break;
            }
        }
        bodyBytes += request.body().size();
        co_return makeResponse(takes ? http::status::ok : http::status::service_unavailable, "text/plain", std::to_string(request.body().size()));
    }
};

// A client with a thread of its own that makes one exchange at a time.
class Caller
{
public:
    Caller()
        : m_guard(asio::make_work_guard(m_context))
        , m_client(m_context, {})
        , m_thread([this] { m_context.run(); })
    {
    }

    ~Caller()
    {
        m_context.stop();
        m_thread.join();
    }

    Result<HttpResponse> offer(const std::string &body)
    {
        std::promise<Result<HttpResponse>> promise;
        asio::co_spawn(
            m_context,
            [&]() -> asio::awaitable<void> {
                HttpRequest request(http::verb::post, "/upload", 11);
                request.set(http::field::host, "h");
                request.body() = body;
                HttpClient::Companions companions;
                companions.askFirst = true;
                auto answer = co_await m_client.exchange(Here, request, Clock::now() + Patience, companions);
                promise.set_value(std::move(answer));
            },
            asio::detached);
        return promise.get_future().get();
    }

    std::uint64_t bytes() const
    {
        return m_client.bytes();
    }

    std::size_t connections() const
    {
        return m_client.openConnections(Here);
    }

private:
    asio::io_context m_context{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_guard;
    HttpClient m_client;
    std::thread m_thread;
};

}

// A full target refuses uploads of 60 KB. Sent with the offer, each would cost its link
// of 7 Mbit/s 70 ms for nothing. A refused one costs some hundred bytes, and the
// connection carries the next.
BOOST_FIXTURE_TEST_CASE(ARefusedOfferCostsNoBody, Fixture)
{
    RunningServer server(options);
    Caller caller;
    for (int i = 0; i < 5; ++i) {
        const auto answer = caller.offer(Body);
        BOOST_REQUIRE(answer.has_value());
        BOOST_TEST(answer->result_int() == 503U);
    }
    BOOST_TEST(caller.bytes() < 5000U);
    BOOST_TEST(caller.connections() == 1U);
    takes = true;
    const auto answer = caller.offer(Body);
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->body() == std::to_string(Body.size()));
    BOOST_TEST(caller.connections() == 1U);
}

// A small body goes along with its header: a question would cost a round trip.
BOOST_FIXTURE_TEST_CASE(ASmallBodyIsSentAtOnce, Fixture)
{
    RunningServer server(options);
    Caller caller;
    takes = true;
    const auto answer = caller.offer("small");
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->body() == "5");
}

// The server answers with half of the body unread. Its connection isn't used again:
// the rest of the body would stand where the next request is expected.
BOOST_FIXTURE_TEST_CASE(AnAnswerBeforeTheBodyEndsTheConnection, Fixture)
{
    RunningServer server(options);
    Caller caller;
    takes = true;
    leavesHalf = true;
    const auto half = caller.offer(Body);
    BOOST_TEST((!half || half->keep_alive() == false));
    leavesHalf = false;
    const auto answer = caller.offer(Body);
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->body() == std::to_string(Body.size()));
}

// The sidecar's VM loses its process between an upload's header and its answer. Read on,
// the client waited for its deadline, or got an empty header for 200: the caller took
// its spreadsheet for stored. It must be told at once that nothing is known.
BOOST_AUTO_TEST_CASE(AnOfferThatIsNeverAnsweredIsNoSuccess)
{
    for (const std::string part : {"", "HTT", "HTTP/1.1 100 Continue\r\n", "HTTP/1.1 100 Continue\r\n\r\n"}) {
        asio::io_context context;
        Tcp::acceptor acceptor(context, Tcp::endpoint(asio::ip::make_address(Here.address), Here.port));
        std::thread server([&] {
            auto socket = acceptor.accept();
            std::string received;
            asio::read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n");
            asio::write(socket, asio::buffer(part));
            socket.close();
        });
        Caller caller;
        const auto begin = Clock::now();
        const auto answer = caller.offer(Body);
        server.join();
        BOOST_TEST((Clock::now() < begin + Patience / 2));
        BOOST_TEST(!answer.has_value(), "after \"" << part << "\"");
        BOOST_TEST((answer || answer.error().kind == ErrorKind::OutcomeUnknown));
    }
}

// A peer that isn't a node sends its body without waiting to be asked. Refused, it
// is answered, and nothing of its body is taken for a request.
BOOST_FIXTURE_TEST_CASE(ABodySentUnaskedIsNoRequest, Fixture)
{
    options.peersWaitForContinue = false;
    RunningServer server(options);
    RawCaller caller(Here);
    const std::string hidden = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::string body = hidden + std::string(80000, 'x');
    caller.send("POST /upload HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    const auto answers = caller.readToEnd();
    BOOST_REQUIRE(answers.has_value());
    BOOST_TEST(answers->find("HTTP/1.1 503") != std::string::npos);
    BOOST_TEST(answers->find("HTTP/1.1", answers->find("HTTP/1.1 503") + 1) == std::string::npos);
}
