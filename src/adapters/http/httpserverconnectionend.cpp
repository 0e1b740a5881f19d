// Ends the connections of a server.

#include "adapters/http/httpserverconnection.h"
#include "adapters/http/lingeringclose.h"

namespace Galenahill {

namespace {

// Time for the first request to arrive on a new connection, whose caller is about to send it.
constexpr Milliseconds NewConnectionTime{300};

}

// Ends the connection so that the peer gets all that was sent. If another coroutine is reading, that one
// reads until the peer closes. A peer that has half-closed the connection may still receive.
asio::awaitable<void> HttpServerConnection::endGracefully()
{
    if (m_closed) {
        co_return;
    }
    if (!m_halfClosed && m_channel.hasFailed()) {
        peerDisconnected();
    }
    if (m_endsWithReset || m_channel.resetsOnClose() || (m_peerDisconnected && (m_channel.unacknowledgedBytes() == 0 || m_channel.hasFailed()))) {
        close();
        co_return;
    }
    if (!m_halfClosed) {
        halfClose();
    }
    if (!m_discarding && m_reading == Reading::Nothing) {
        m_discarding = true;
        co_await discardUntilClosed();
        close();
    }
}

void HttpServerConnection::halfClose()
{
    m_halfClosed = true;
    m_closesAfterResponse = true;
    ErrorCode ignored;
    m_channel.socket.shutdown(Tcp::socket::shutdown_send, ignored);
    cancelPipeline();
    setTimeLimit(LingeringClose::Options().acknowledgementCheckInterval);
    // Wakes the coroutine that reads.
    m_channel.abort();
}

asio::awaitable<void> HttpServerConnection::discardUntilClosed()
{
    LingeringClose lingering({.acknowledgementTimeout = m_state->options.readTimeout}, Clock::now());
    bool peerCloses = false;
    for (;;) {
        m_discarded += m_channel.buffer.size();
        m_channel.buffer.clear();
        const auto unacknowledged = m_channel.unacknowledgedBytes();
        if ((peerCloses && (unacknowledged == 0 || m_channel.hasFailed())) || lingering.isOver(Clock::now(), unacknowledged, m_discarded)) {
            co_return;
        }
        ErrorCode error;
        if (peerCloses) {
            m_channel.deadline.clear();
            asio::steady_timer timer(m_channel.socket.get_executor(), lingering.checkAfter(Clock::now()));
            ErrorCode ignored;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        } else {
            setTimeLimit(lingering.checkAfter(Clock::now()));
            error = co_await m_channel.readMore();
        }
        peerCloses = peerCloses || error == asio::error::eof;
        if (m_closed || (error && error != asio::error::eof && error != asio::error::timed_out)) {
            co_return;
        }
    }
}

void HttpServerConnection::close()
{
    if (const auto &report = m_state->options.connectionEnded; report && !m_closed) {
        report(end());
    }
    m_closed = true;
    if (m_endsWithReset) {
        m_channel.reset();
    } else {
        m_channel.close();
    }
    cancelPipeline();
    if (m_closedSignal) {
        m_closedSignal->cancel();
    }
}

ConnectionEnd HttpServerConnection::end()
{
    return {.peer = m_peer,
        .closer = (m_peerDisconnected || !m_halfClosed) && peerClosed() ? ConnectionEnd::Closer::Peer : ConnectionEnd::Closer::Server,
        .requestsRead = m_requestsRead,
        .requestsAnswered = m_requestsAnswered,
        .lastAnsweredId = m_lastAnsweredId,
        .unacknowledgedBytes = m_channel.unacknowledgedBytes(),
        .unreadBytes = m_channel.unreadBytes(),
        .discardedBytes = m_discarded,
        .closeAnnounced = m_closeAnnounced};
}

void HttpServerConnection::endIfIdle()
{
    const bool isNew = m_requestsRead == 0 && Clock::now() - m_waitingSince < NewConnectionTime;
    if (m_pipeline.empty() && m_reading == Reading::Idle && !m_halfClosed && !isNew) {
        m_endsIfIdle = true;
        m_channel.abort();
    }
}

void HttpServerConnection::limitToArrivedRequests()
{
    m_answerUpTo = m_channel.received - m_channel.buffer.size() + m_channel.unreadBytes();
}

void HttpServerConnection::expireArriving()
{
    const bool arrives = m_reading == Reading::Request || (!m_pipeline.empty() && !m_pipeline.back()->noBytesPending());
    // Setting the deadline again would hide that it has passed from the read that it ends.
    if (arrives && !m_halfClosed && !std::exchange(m_arrivalExpired, true)) {
        m_watching = false;
        m_limitsSending = false;
        m_channel.deadline.set(Clock::now());
    }
}

void HttpServerConnection::peerDisconnected()
{
    m_peerDisconnected = true;
    const auto pipeline = m_pipeline;
    for (auto *exchange : pipeline) {
        exchange->cancellation().cancel();
    }
}

// Ends all requests of the pipeline: their responses can't be sent any more.
void HttpServerConnection::cancelPipeline()
{
    for (auto *exchange : m_pipeline) {
        if (exchange->turn) {
            exchange->turn->cancel();
        }
    }
    const auto pipeline = m_pipeline;
    for (auto *exchange : pipeline) {
        exchange->cancellation().cancel();
    }
}

}
