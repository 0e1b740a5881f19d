#pragma once

#include "httptest.h"

namespace Galenahill {

inline const Endpoint PausedServerEndpoint{testAddress(60), 18161};

// Pause of a server, and a time limit that is shorter.
inline constexpr Milliseconds ServerPause{1500};
inline constexpr Milliseconds ShortTimeout{300};

// Serves one connection by that function, on a thread of its own.
class OneConnection
{
public:
    explicit OneConnection(std::function<void(Tcp::socket &)> serve)
        : m_acceptor(m_context, Tcp::endpoint(asio::ip::make_address(PausedServerEndpoint.address), PausedServerEndpoint.port))
        , m_thread([this, serve = std::move(serve)] {
            Tcp::socket socket(m_context);
            m_acceptor.accept(socket);
            serve(socket);
        })
    {
    }

    ~OneConnection()
    {
        m_thread.join();
    }

private:
    asio::io_context m_context;
    Tcp::acceptor m_acceptor;
    std::thread m_thread;
};

// Sends a request with a body of that length; returns the status, or zero, and the length of the body
// that was received.
inline std::pair<unsigned, std::size_t> exchangeWithPausedServer(const HttpClient::Options &options, std::size_t bytes)
{
    constexpr std::size_t PartBytes = 64 * 1024;
    std::pair<unsigned, std::size_t> result;
    asio::io_context context(1);
    HttpClient client(context, options);
    HttpRequest request(http::verb::post, "/", 11);
    request.set(http::field::host, "h");
    request.body().assign(bytes, 'x');
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            std::unique_ptr<BodySource> rest;
            HttpClient::ExchangeOptions exchangeOptions;
            exchangeOptions.responseBody = &rest;
            auto response = co_await client.exchange(PausedServerEndpoint, request, Clock::now() + TestTimeout, exchangeOptions);
            if (!response) {
                co_return;
            }
            std::string body = response->body();
            ErrorCode error;
            while (rest && !rest->done() && !error) {
                error = co_await rest->read(body, PartBytes);
            }
            result = {response->result_int(), body.size()};
        },
        asio::detached);
    context.run();
    return result;
}

}
