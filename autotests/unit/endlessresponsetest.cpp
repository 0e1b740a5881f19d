// Responses that never end, in each form in which a target can send them.

#include "httptest.h"

#include <boost/test/unit_test.hpp>
#include <future>

using namespace Galenahill;

namespace {

constexpr Milliseconds Deadline{300};

// How long the server goes on if the client doesn't close the connection. Far above every bound of the client.
constexpr Milliseconds StreamTime{20000};

constexpr Milliseconds PartInterval{2};

// What a client may read of a response without a stated length at full speed. In small parts only time is the bound.
constexpr std::uint64_t MaxBodyBytes = 4 * 1024 * 1024;
constexpr std::uint64_t UnboundedBytes = std::uint64_t(1) << 30;

struct Form
{
    const char *name;
    std::string begin;
    std::string repeated;
};

const std::vector<Form> Forms = {
    {"letters without a line end", "", "letters"},
    {"header fields without end", "HTTP/1.1 200 OK\r\n", "X-More: yes\r\n"},
    {"empty lines before a status line", "", "\r\n"},
    {"interim responses without end", "", "HTTP/1.1 102 Processing\r\n\r\n"},
    {"responses to other requests without end", "", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nno"},
    {"a body of another request without end", "HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n", "body"},
    {"a chunk extension without end", "HTTP/1.1 200 OK\r\nX-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n4;", "extension"},
    {"a body without a length", "HTTP/1.1 200 OK\r\nX-Id: own\r\n\r\n", "body"},
    {"chunks without end", "HTTP/1.1 200 OK\r\nX-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
    {"trailer fields without end", "HTTP/1.1 200 OK\r\nX-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: yes\r\n"},
};

// Sends a form to one client until the connection breaks, at full speed or in small parts.
class StreamingServer
{
public:
    StreamingServer(const Form &form, bool fast)
        : m_acceptor(m_context, Tcp::endpoint(asio::ip::make_address(testAddress(41)), 0))
        , m_result(std::async(std::launch::async, [this, form, fast] { return stream(form, fast); }))
    {
    }

    Endpoint endpoint() const
    {
        return {testAddress(41), m_acceptor.local_endpoint().port()};
    }

    // Whether the client closed the connection before the server stopped by itself.
    bool wasClosed()
    {
        return m_result.get();
    }

private:
    bool stream(const Form &form, bool fast)
    {
        Tcp::socket socket(m_context);
        m_acceptor.accept(socket);
        ErrorCode error;
        std::array<char, 4096> request;
        socket.read_some(asio::buffer(request), error);
        asio::write(socket, asio::buffer(form.begin), error);
        std::string part = form.repeated;
        while (part.size() < (fast ? 64 * 1024 : 1024)) {
            part += part;
        }
        const auto until = Clock::now() + StreamTime;
        while (!error && Clock::now() < until) {
            asio::write(socket, asio::buffer(part), error);
            if (!fast) {
                std::this_thread::sleep_for(PartInterval);
            }
        }
        return static_cast<bool>(error);
    }

    asio::io_context m_context;
    Tcp::acceptor m_acceptor;
    std::future<bool> m_result;
};

struct Outcome
{
    bool failed = false;
    std::uint64_t bytes = 0;
    std::size_t openConnections = 0;
};

Outcome receive(const Endpoint &endpoint, std::uint64_t maxBodyBytes)
{
    asio::io_context context(1);
    HttpClient::Options options;
    options.maxBodyBytes = maxBodyBytes;
    HttpClient client(context, options);
    Outcome outcome;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            HttpRequest request(http::verb::get, "/", 11);
            request.set(http::field::host, "h");
            std::unique_ptr<BodySource> body;
            HttpClient::ExchangeOptions exchangeOptions;
            exchangeOptions.responseBody = &body;
            exchangeOptions.matchesRequest = [](const http::fields &fields) { return fields["X-Id"] != "other"; };
            const auto response = co_await client.exchange(endpoint, request, Clock::now() + Deadline, exchangeOptions);
            outcome.failed = !response;
            std::string part;
            while (body && !outcome.failed && !body->done()) {
                part.clear();
                const auto error = co_await body->read(part, 64 * 1024);
                outcome.failed = static_cast<bool>(error);
                outcome.bytes += part.size();
            }
            body.reset();
            outcome.openConnections = client.openConnections(endpoint);
        },
        asio::detached);
    context.run();
    return outcome;
}

}

// Guards against responses without end that hold a connection, and the slot of their call, until the caller leaves.
BOOST_AUTO_TEST_CASE(EachFormIsBoundedInBytesAndTime)
{
    for (const auto &form : Forms) {
        for (const bool fast : {false, true}) {
            const auto name = std::string(form.name) + (fast ? ", at full speed" : ", in small parts");
            StreamingServer server(form, fast);
            const auto outcome = receive(server.endpoint(), fast ? MaxBodyBytes : UnboundedBytes);
            BOOST_TEST(outcome.failed, name);
            BOOST_TEST(outcome.openConnections == 0U, name);
            BOOST_TEST(outcome.bytes <= MaxBodyBytes, name);
            BOOST_TEST(server.wasClosed(), name);
        }
    }
}

// Guards against a large response of stated length that is cut off because it is late.
BOOST_AUTO_TEST_CASE(LateResponseOfStatedLengthArrives)
{
    constexpr std::size_t Length = 300 * 1024;
    asio::io_context context;
    Tcp::acceptor acceptor(context, Tcp::endpoint(asio::ip::make_address(testAddress(41)), 0));
    const Endpoint endpoint{testAddress(41), acceptor.local_endpoint().port()};
    std::thread server([&] {
        Tcp::socket socket(context);
        acceptor.accept(socket);
        ErrorCode error;
        std::array<char, 4096> request;
        socket.read_some(asio::buffer(request), error);
        asio::write(socket, asio::buffer("HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: " + std::to_string(Length) + "\r\n\r\n"), error);
        for (int part = 0; part < 3; ++part) {
            asio::write(socket, asio::buffer(std::string(Length / 3, 'x')), error);
            std::this_thread::sleep_for(Milliseconds(800));
        }
    });
    const auto outcome = receive(endpoint, UnboundedBytes);
    server.join();
    BOOST_TEST(!outcome.failed);
}
