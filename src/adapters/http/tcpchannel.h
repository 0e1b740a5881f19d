#pragma once

#include "adapters/http/asio.h"
#include "adapters/http/deadlinesweeper.h"

#include <boost/beast/core/buffers_suffix.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/serializer.hpp>

#include <atomic>

namespace Galenahill {

// Capacity of a connection's read buffer.
inline constexpr std::size_t ReadAheadBytes = 16 * 1024;

// Bytes of payload that connections carried.
struct ByteCounts
{
    // In both directions.
    std::atomic<std::uint64_t> all = 0;
    // Sent to other addresses than the own one.
    std::atomic<std::uint64_t> sentOnLink = 0;
};

// One TCP connection with its read buffer and deadline. Writes are tried immediately and wait only
// if the socket would block.
class TcpChannel
{
public:
    TcpChannel(Tcp::socket socket, ByteCounts &bytes);
    ~TcpChannel();

    TcpChannel(const TcpChannel &) = delete;
    TcpChannel &operator=(const TcpChannel &) = delete;

    Tcp::socket socket;
    boost::beast::flat_buffer buffer{ReadAheadBytes};
    // Bytes that were read into the buffer so far.
    std::uint64_t received = 0;
    // Bytes that were written so far.
    std::uint64_t sent = 0;
    Deadline deadline;

    // Makes a connected socket non-blocking and sets TCP_NODELAY.
    void prepare();

    // Breaks the connection when sent bytes stay unacknowledged for that time (TCP_USER_TIMEOUT): a
    // peer that lost power or its network never acknowledges them, and never resets the connection.
    // Also breaks it when the peer leaves its receive window full for that time; LostPeerDetector
    // doesn't.
    void setUnackedTimeout(Milliseconds time);

    // Sends keep-alive probes every second while there is no traffic, and breaks the connection
    // one second after that number of unanswered ones. Otherwise a long wait for a response, such as
    // a watch, would outlast its peer by minutes.
    void enableKeepAliveProbes(int unansweredProbes);

    // Ends the pending operations with an error.
    void abort();

    // Closes the connection immediately, in order unless it resets on close.
    void close();

    // Closes the connection so that the peer sees an error rather than an end.
    void reset();

    // Whether the connection is reset however it is closed, also by the end of the process.
    void setResetOnClose(bool resets);
    bool resetsOnClose() const;

    // Closes the connection because its peer is lost; its operations fail with `timed_out`.
    void closePeerLost();

    // Whether the peer has closed its side. Consumes no bytes.
    bool peerClosed();

    // Whether a read would return immediately, with bytes, the peer's close or an error.
    bool readable();

    // Bytes that were written and that the peer's kernel has not acknowledged; the end of the sending half
    // counts as one. Not reset when the connection fails.
    std::size_t unacknowledgedBytes();

    // Whether the peer or the kernel has reset the connection.
    bool hasFailed();

    // Bytes that were written and that the peer's kernel has acknowledged.
    std::uint64_t acknowledgedBytes();

    // Space left in the read buffer; none if its limit was lowered below its content.
    std::size_t freeBytes() const;

    // Bytes that have arrived and that nothing has consumed.
    std::size_t unreadBytes();

    // Frees the buffer if it is empty. Most connections of a large fleet are idle, and their buffers
    // would take most of a node's memory.
    void releaseBuffer();

    // Appends the bytes that have arrived to the buffer without waiting. Fails with `eof` only if the peer has ended the
    // connection in order.
    ErrorCode readArrived();

    // Waits for bytes and appends them to the buffer; a freed buffer is allocated only when they
    // arrive. Fails with `timed_out` if the deadline has passed, with `no_buffer_space` if the
    // buffer is full, and with `eof` only if the peer has ended the connection in order.
    asio::awaitable<ErrorCode> readMore();

    // Writes all bytes of the buffers.
    template <typename Buffers>
    asio::awaitable<ErrorCode> write(const Buffers &buffers);

    // Writes a complete message, or only its header.
    template <typename Message>
    asio::awaitable<ErrorCode> writeMessage(Message &message);
    template <typename Message>
    asio::awaitable<ErrorCode> writeHeader(Message &message);

private:
    template <typename Serializer>
    ErrorCode writeNext(Serializer &serializer);
    asio::awaitable<ErrorCode> waitWritable();
    ErrorCode errorOrTimeout(const ErrorCode &error) const;

    // The kernel reports the failure of a connection, such as a reset, to one operation only; reads then end as if the peer
    // had closed in order.
    void recordFailure(const ErrorCode &error);

    // The failure that an earlier operation met, in place of an end.
    ErrorCode endOrFailure(const ErrorCode &error);

    void countSent(std::size_t count);

    ByteCounts &m_bytes;
    bool m_usesLink = false;
    bool m_peerLost = false;
    bool m_resetsOnClose = false;
    ErrorCode m_failure;
};

template <typename Buffers>
asio::awaitable<ErrorCode> TcpChannel::write(const Buffers &buffers)
{
    boost::beast::buffers_suffix<Buffers> remaining(buffers);
    while (boost::asio::buffer_size(remaining) > 0) {
        ErrorCode error;
        const auto count = socket.write_some(remaining, error);
        recordFailure(error);
        countSent(count);
        remaining.consume(count);
        if (error == asio::error::would_block) {
            error = co_await waitWritable();
        }
        if (error) {
            co_return errorOrTimeout(error);
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
    co_return errorOrTimeout(error);
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
    co_return errorOrTimeout(error);
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
    recordFailure(error);
    countSent(count);
    serializer.consume(count);
    return error;
}

}
