#pragma once

#include "adapters/http/requestcheck.h"
#include "adapters/http/tcpchannel.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

namespace Galenahill {

// Reads one message from a channel, and its body in parts of bounded size.
template <bool IsRequest>
class MessageReader
{
public:
    using Header = http::header<IsRequest, http::fields>;

    MessageReader(TcpChannel &channel, std::uint32_t maxHeaderBytes, std::uint64_t maxBodyBytes)
        : m_channel(channel)
        , m_maxHeaderBytes(maxHeaderBytes)
    {
        m_parser.header_limit(maxHeaderBytes);
        m_parser.body_limit(maxBodyBytes);
        m_parser.eager(false);
    }

    // For the response to a HEAD request, which has no body whatever its header says.
    void skipBody()
    {
        m_parser.skip(true);
    }

    // Reads up to the end of the header.
    asio::awaitable<ErrorCode> readHeader();

    // Appends the next bytes of the body, up to `limit`.
    asio::awaitable<ErrorCode> readBody(std::string &part, std::size_t limit);

    // Whether the message has been read to its end.
    bool done() const
    {
        return m_parser.is_done();
    }

    bool keepAlive() const
    {
        return m_parser.keep_alive();
    }

    bool chunked() const
    {
        return m_parser.chunked();
    }

    std::optional<std::uint64_t> contentLength() const
    {
        const auto length = m_parser.content_length();
        return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
    }

    // The header; valid once readHeader() has succeeded.
    const Header &header() const
    {
        return m_parser.get().base();
    }

    // Why the header was rejected, if readHeader() failed because of its bytes.
    const std::optional<RequestError> &requestError() const
    {
        return m_requestError;
    }

    // The header, once read. Trailer fields of a chunked body aren't part of it.
    Header takeHeader()
    {
        return std::move(m_parser.get().base());
    }

private:
    asio::awaitable<ErrorCode> fillHeader();
    ErrorCode parse();

    TcpChannel &m_channel;
    std::uint32_t m_maxHeaderBytes;
    http::parser<IsRequest, http::buffer_body> m_parser;
    std::optional<RequestError> m_requestError;
};

template <bool IsRequest>
asio::awaitable<ErrorCode> MessageReader<IsRequest>::fillHeader()
{
    auto &buffer = m_channel.buffer;
    std::size_t skipped = 0;
    for (;;) {
        std::string_view text(static_cast<const char *>(buffer.data().data()), buffer.size());
        while (text.substr(0, 2) == "\r\n") {
            buffer.consume(2);
            text.remove_prefix(2);
            skipped += 2;
        }
        if (skipped > m_maxHeaderBytes) {
            co_return http::error::header_limit;
        }
        const auto length = headerLength(text);
        if (IsRequest) {
            m_requestError = checkHeaderBytes(length > 0 ? text.substr(0, length) : text);
            if (m_requestError) {
                co_return http::error::bad_field;
            }
        }
        if (length > 0) {
            co_return length > m_maxHeaderBytes ? ErrorCode(http::error::header_limit) : ErrorCode();
        }
        if (text.size() >= m_maxHeaderBytes) {
            co_return http::error::header_limit;
        }
        const auto error = co_await m_channel.readMore();
        if (error) {
            co_return error == boost::system::errc::no_buffer_space ? ErrorCode(http::error::header_limit) : error;
        }
    }
}

template <bool IsRequest>
ErrorCode MessageReader<IsRequest>::parse()
{
    ErrorCode error;
    const auto count = m_parser.put(m_channel.buffer.data(), error);
    m_channel.buffer.consume(count);
    return error;
}

template <bool IsRequest>
asio::awaitable<ErrorCode> MessageReader<IsRequest>::readHeader()
{
    ErrorCode error = co_await fillHeader();
    while (!error && !m_parser.is_header_done()) {
        error = parse();
    }
    co_return error;
}

template <bool IsRequest>
asio::awaitable<ErrorCode> MessageReader<IsRequest>::readBody(std::string &part, std::size_t limit)
{
    const auto begin = part.size();
    part.resize(begin + limit);
    auto &body = m_parser.get().body();
    body.data = part.data() + begin;
    body.size = limit;
    ErrorCode error;
    while (!error && !m_parser.is_done() && body.size > 0) {
        error = m_channel.buffer.size() > 0 ? parse() : ErrorCode(http::error::need_more);
        if (error == http::error::need_buffer) {
            error = {};
            break;
        }
        if (error == http::error::need_more) {
            error = co_await m_channel.readMore();
            if (error == asio::error::eof) {
                // Only a body of unstated length may end with the connection.
                error = {};
                m_parser.put_eof(error);
            }
        }
    }
    part.resize(begin + limit - body.size);
    body.data = nullptr;
    co_return error;
}

}
