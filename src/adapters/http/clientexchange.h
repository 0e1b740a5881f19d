#pragma once

#include "adapters/http/connectionpool.h"
#include "adapters/http/httpclient.h"
#include "adapters/http/messagereader.h"

namespace Galenahill {

// One request and its answer on one connection.
class ClientExchange : public std::enable_shared_from_this<ClientExchange>
{
public:
    ClientExchange(std::shared_ptr<ConnectionPool> pool, std::unique_ptr<ClientConnection> connection, const HttpClient::Options &options);

    // Sends the request and reads the answer. An error means that the outcome
    // isn't known, or if `sent` is false that no byte was sent.
    asio::awaitable<Result<HttpResponse>> run(HttpRequest &request, TimePoint deadline, HttpClient::Companions companions);

    // Whether any byte may have been sent.
    bool sent() const;

    // Ends the exchange with an error.
    void abort();

private:
    class AnswerBody;

    asio::awaitable<ErrorCode> send(HttpRequest &request, const HttpClient::Companions &companions);
    asio::awaitable<ErrorCode> sendHeader(HttpRequest &request, const HttpClient::Companions &companions, bool askFirst);
    asio::awaitable<ErrorCode> sendHeldBody(const HttpRequest &request);
    asio::awaitable<ErrorCode> sendBody(HttpRequest &request, BodySource &rest);
    asio::awaitable<ErrorCode> readHeader(bool toContinue);
    asio::awaitable<ErrorCode> dropAnswer();
    asio::awaitable<ErrorCode> readBody(HttpResponse &response, bool streamed);
    void finish();
    tl::unexpected<Error> unknown(const std::string &what, const ErrorCode &error) const;

    std::shared_ptr<ConnectionPool> m_pool;
    std::unique_ptr<ClientConnection> m_connection;
    std::uint64_t m_maxBodyBytes;
    std::size_t m_bufferedBodyBytes;
    Milliseconds m_partTimeout;
    std::optional<MessageReader<false>> m_reader;
    bool m_head = false;
    bool m_sent = false;
    bool m_aborted = false;
    // The server answered before it took the whole request; the connection
    // can't carry another one.
    bool m_cutShort = false;
    // The server asked for the body, or wasn't told to.
    bool m_bodyWanted = true;
    Milliseconds m_keptByServer = Milliseconds::max();
};

}
