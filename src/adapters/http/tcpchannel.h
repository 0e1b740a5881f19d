#pragma once

#include "adapters/http/asio.h"
#include "adapters/http/deadlinesweeper.h"

#include <boost/beast/core/buffers_suffix.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/serializer.hpp>

#include <atomic>

namespace Galenahill {

// Most bytes of one connection that are held in memory for reading ahead.
inline constexpr std::size_t ReadAheadBytes = 16 * 1024;

// One TCP connection with its read buffer and deadline. Tries each read and
// write at once and waits only when the kernel asks it to.
class TcpChannel
{
public:
    TcpChannel(Tcp::socket socket, std::atomic<std::uint64_t> &bytes);

    TcpChannel(const TcpChannel &) = delete;
    TcpChannel &operator=(const TcpChannel &) = delete;

    Tcp::socket socket;
    boost::beast::flat_buffer buffer{ReadAheadBytes};
    Deadline deadline;

    // Prepares a connected socket: not blocking, no delay.
    void prepare();

    // Breaks the connection when bytes that were sent stay unacknowledged for
    // so long: a peer that lost power or is cut off never answers, and never
    // resets the connection either.
    void limitUnacked(Milliseconds time);

    // Probes the quiet connection each second, and breaks it when two probes
    // in a row stay unanswered: a wait for an answer that may come late, such
    // as a watch, would else outlast its peer by minutes.
    void probeWhenQuiet();

    // Ends the waiting operations with an error.
    void abort();

    // Closes the connection; the peer sees it at once.
    void close();

    // Whether the peer has closed its side. Reads nothing.
    bool peerClosed();

    // Whether anything can be read now, the peer's close counted.
    bool readable();

    // Frees an empty buffer. Most connections of a large fleet are idle, and their
    // buffers would be most of a node's memory.
    void releaseBuffer();

    // Appends what arrives to the buffer; one that was freed is made anew only then.
    // Error `timed_out` when the deadline passed, `no_buffer_space` when the buffer is
    // full.
    asio::awaitable<ErrorCode> readMore();

    // Writes all of the buffers.
    template <typename Buffers>
    asio::awaitable<ErrorCode> write(const Buffers &buffers);

    // Writes a whole message, or its header alone.
    template <typename Message>
    asio::awaitable<ErrorCode> writeMessage(Message &message);
    template <typename Message>
    asio::awaitable<ErrorCode> writeHeader(Message &message);

private:
    template <typename Serializer>
    ErrorCode writeNext(Serializer &serializer);
    asio::awaitable<ErrorCode> waitWritable();
    ErrorCode reasonOf(const ErrorCode &error) const;

    std::atomic<std::uint64_t> &m_bytes;
};

template <typename Buffers>
asio::awaitable<ErrorCode> TcpChannel::write(const Buffers &buffers)
{
    boost::beast::buffers_suffix<Buffers> left(buffers);
    while (boost::asio::buffer_size(left) > 0) {
        ErrorCode error;
        const auto count = socket.write_some(left, error);
        m_bytes += count;
        left.consume(count);
        if (error == asio::error::would_block) {
            error = co_await waitWritable();
        }
        if (error) {
            co_return error;
        }
    }
    co_return ErrorCode();
}

template <typename Message>
asio::awaitable<ErrorCode> TcpChannel::writeMessage(Message &message)
{
    boost::beast::http::serializer<Message::is_request::value, typename Message::body_type, typename Message::fields_type> serializer(message);
    ErrorCode error;
    while (!error && !serializer.is_done()) {
        error = writeNext(serializer);
        if (error == asio::error::would_block) {
            error = co_await waitWritable();
        }
    }
    co_return error;
}

template <typename Message>
asio::awaitable<ErrorCode> TcpChannel::writeHeader(Message &message)
{
    boost::beast::http::serializer<Message::is_request::value, typename Message::body_type, typename Message::fields_type> serializer(message);
    serializer.split(true);
    ErrorCode error;
    while (!error && !serializer.is_header_done()) {
        error = writeNext(serializer);
        if (error == asio::error::would_block) {
            error = co_await waitWritable();
        }
    }
    co_return error;
}

template <typename Serializer>
ErrorCode TcpChannel::writeNext(Serializer &serializer)
{
    ErrorCode failed;
    ErrorCode error;
    std::size_t count = 0;
    serializer.next(failed, [&](ErrorCode &, const auto &buffers) { count = socket.write_some(buffers, error); });
    if (failed) {
        return failed;
    }
    m_bytes += count;
    serializer.consume(count);
    return error;
}

}
