#include "adapters/http/tcpchannel.h"

#include <algorithm>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

namespace Galenahill {

namespace {

// A broken pipe says that the peer has ended the connection in order, or that another operation has already met its failure.
bool isConnectionFailure(const ErrorCode &error)
{
    return error && error != asio::error::would_block && error != asio::error::eof && error != asio::error::operation_aborted
        && error != asio::error::broken_pipe && error != asio::error::bad_descriptor;
}

}

TcpChannel::TcpChannel(Tcp::socket connected, ByteCounts &bytes)
    : socket(std::move(connected))
    , m_bytes(bytes)
{
    deadline.expire = [this] { abort(); };
}

// The destructor of an Asio socket would close it in order.
TcpChannel::~TcpChannel()
{
    if (m_resetsOnClose) {
        close();
    }
}

void TcpChannel::prepare()
{
    ErrorCode ignored;
    socket.non_blocking(true, ignored);
    socket.set_option(Tcp::no_delay(true), ignored);
    m_usesLink = socket.remote_endpoint(ignored).address() != socket.local_endpoint(ignored).address();
}

void TcpChannel::countSent(std::size_t count)
{
    sent += count;
    m_bytes.all += count;
    m_bytes.sentOnLink += m_usesLink ? count : 0;
}

void TcpChannel::setUnackedTimeout(Milliseconds time)
{
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    ErrorCode ignored;
    socket.set_option(UserTimeout(static_cast<int>(time.count())), ignored);
}

void TcpChannel::enableKeepAliveProbes(int unansweredProbes)
{
    namespace option = asio::detail::socket_option;
    constexpr int Seconds = 1;
    ErrorCode ignored;
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(option::integer<IPPROTO_TCP, TCP_KEEPIDLE>(Seconds), ignored);
    socket.set_option(option::integer<IPPROTO_TCP, TCP_KEEPINTVL>(Seconds), ignored);
    socket.set_option(option::integer<IPPROTO_TCP, TCP_KEEPCNT>(unansweredProbes), ignored);
}

void TcpChannel::abort()
{
    ErrorCode ignored;
    socket.cancel(ignored);
}

void TcpChannel::close()
{
    ErrorCode ignored;
    if (!m_resetsOnClose) {
        socket.shutdown(Tcp::socket::shutdown_both, ignored);
    }
    socket.close(ignored);
}

void TcpChannel::reset()
{
    setResetOnClose(true);
    ErrorCode ignored;
    socket.close(ignored);
}

void TcpChannel::setResetOnClose(bool resets)
{
    ErrorCode ignored;
    socket.set_option(asio::socket_base::linger(resets, 0), ignored);
    m_resetsOnClose = resets;
}

bool TcpChannel::resetsOnClose() const
{
    return m_resetsOnClose;
}

void TcpChannel::closePeerLost()
{
    m_peerLost = true;
    // Otherwise the kernel would go on retransmitting after the close.
    ErrorCode ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

bool TcpChannel::peerClosed()
{
    char byte = 0;
    ErrorCode error;
    socket.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
    recordFailure(error);
    return error && error != asio::error::would_block;
}

bool TcpChannel::readable()
{
    char byte = 0;
    ErrorCode error;
    socket.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
    recordFailure(error);
    return error != asio::error::would_block;
}

std::size_t TcpChannel::unacknowledgedBytes()
{
    int count = 0;
    return ioctl(socket.native_handle(), SIOCOUTQ, &count) == 0 ? static_cast<std::size_t>(count) : 0;
}

bool TcpChannel::hasFailed()
{
    tcp_info info = {};
    socklen_t length = sizeof(info);
    return getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &length) == 0 && info.tcpi_state == TCP_CLOSE;
}

std::uint64_t TcpChannel::acknowledgedBytes()
{
    return sent - std::min<std::uint64_t>(sent, unacknowledgedBytes());
}

std::size_t TcpChannel::unreadBytes()
{
    ErrorCode error;
    const auto inKernel = socket.available(error);
    return buffer.size() + (error ? 0 : inKernel);
}

std::size_t TcpChannel::freeBytes() const
{
    return buffer.max_size() - std::min(buffer.max_size(), buffer.size());
}

void TcpChannel::releaseBuffer()
{
    if (buffer.size() == 0) {
        buffer.shrink_to_fit();
    }
}

ErrorCode TcpChannel::readArrived()
{
    ErrorCode error;
    const auto count = socket.read_some(buffer.prepare(freeBytes()), error);
    buffer.commit(count);
    received += count;
    m_bytes.all += count;
    return endOrFailure(error);
}

asio::awaitable<ErrorCode> TcpChannel::readMore()
{
    if (deadline.passed() || m_peerLost) {
        co_return asio::error::timed_out;
    }
    const auto space = freeBytes();
    if (space == 0) {
        co_return make_error_code(boost::system::errc::no_buffer_space);
    }
    ErrorCode error;
    if (buffer.capacity() == 0) {
        co_await socket.async_wait(Tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
    }
    if (error) {
        co_return errorOrTimeout(error);
    }
    const auto part = buffer.prepare(std::min<std::size_t>(space, 4096));
    const auto count = co_await socket.async_read_some(part, asio::redirect_error(asio::use_awaitable, error));
    buffer.commit(count);
    received += count;
    m_bytes.all += count;
    co_return errorOrTimeout(endOrFailure(error));
}

asio::awaitable<ErrorCode> TcpChannel::waitWritable()
{
    if (deadline.passed() || m_peerLost) {
        co_return asio::error::timed_out;
    }
    ErrorCode error;
    co_await socket.async_wait(Tcp::socket::wait_write, asio::redirect_error(asio::use_awaitable, error));
    co_return errorOrTimeout(error);
}

void TcpChannel::recordFailure(const ErrorCode &error)
{
    if (!m_failure && isConnectionFailure(error)) {
        m_failure = error;
    }
}

ErrorCode TcpChannel::endOrFailure(const ErrorCode &error)
{
    recordFailure(error);
    return error == asio::error::eof && m_failure ? m_failure : error;
}

ErrorCode TcpChannel::errorOrTimeout(const ErrorCode &error) const
{
    const bool timedOut = error && (deadline.passed() || m_peerLost);
    return timedOut ? ErrorCode(asio::error::timed_out) : error;
}

}
