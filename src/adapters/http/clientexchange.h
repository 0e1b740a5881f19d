#pragma once

#include "adapters/http/connectionpool.h"
#include "adapters/http/httpclient.h"
#include "adapters/http/messagereader.h"

namespace Galenahill {

// One request and its response on one connection.
class ClientExchange : public std::enable_shared_from_this<ClientExchange>
{
public:
    ClientExchange(std::shared_ptr<ConnectionPool> pool, std::unique_ptr<ClientConnection> connection, const HttpClient::Options &options);

    // Sends the request and reads the response. An error means that the outcome is unknown, or
    // that no byte was sent if `sent` is false.
    asio::awaitable<Result<HttpResponse>> run(HttpRequest &request, TimePoint deadline, HttpClient::ExchangeOptions exchangeOptions);

    // Whether any byte may have been sent.
    bool sent() const;

    // Closes the connection, so that the exchange ends with an error.
    void abort();

private:
    class ResponseBody;

    asio::awaitable<ErrorCode> send(HttpRequest &request, const HttpClient::ExchangeOptions &exchangeOptions);
    asio::awaitable<ErrorCode> sendHeader(HttpRequest &request, const HttpClient::ExchangeOptions &exchangeOptions, bool expectContinue);
    asio::awaitable<ErrorCode> sendBufferedBody(const HttpRequest &request);
    asio::awaitable<ErrorCode> sendBody(HttpRequest &request, BodySource &rest);
    asio::awaitable<ErrorCode> readHeader(bool untilContinue);
    asio::awaitable<ErrorCode> discardResponse();
    asio::awaitable<ErrorCode> readBody(HttpResponse &response, bool streamed);
    void finish();
    tl::unexpected<Error> exchangeFailure(const std::string &what, const ErrorCode &error) const;

    std::shared_ptr<ConnectionPool> m_pool;
    std::unique_ptr<ClientConnection> m_connection;
    std::uint64_t m_maxBodyBytes;
    std::size_t m_bufferedBodyBytes;
    Milliseconds m_partTimeout;
    TimePoint m_deadline;
    std::optional<MessageReader<false>> m_reader;
    bool m_isHead = false;
    bool m_sent = false;
    bool m_aborted = false;
    // The request wasn't sent completely, or a mismatched response arrived, so the connection
    // can't be reused.
    bool m_notReusable = false;
    // Whether the body is to be sent; false until 100 Continue arrives if that is awaited.
    bool m_sendsBody = true;
    Milliseconds m_serverKeepAlive = Milliseconds::max();
};

}
