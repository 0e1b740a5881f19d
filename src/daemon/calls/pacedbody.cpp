#include "daemon/calls/pacedbody.h"

#include <algorithm>

namespace Galenahill {

namespace {

// Read from the target at once, and assumed to be left of a body of unknown length.
constexpr std::size_t PartBytes = 64 * 1024;

}

PacedBody::PacedBody(
    std::shared_ptr<ResponseSender> sender, ResponseTicket ticket, std::string first, std::unique_ptr<BodySource> rest, ServerConnection &connection)
    : m_sender(std::move(sender))
    , m_ticket(ticket)
    , m_buffer(std::move(first))
    , m_rest(std::move(rest))
    , m_connection(connection)
{
}

bool PacedBody::restDone() const
{
    return !m_rest || m_rest->done();
}

bool PacedBody::buffered() const
{
    return m_withinBound && restDone();
}

std::uint64_t PacedBody::bufferedBytes() const
{
    return m_buffer.size();
}

// A body of known length is buffered completely or not at all, so that it does not hold memory without
// releasing the slot of its call.
asio::awaitable<ErrorCode> PacedBody::buffer()
{
    const auto whole = length();
    m_withinBound = m_sender->takeMemory(m_ticket, whole.value_or(m_buffer.size()));
    if (m_withinBound && whole) {
        m_buffer.reserve(*whole);
    }
    ErrorCode error;
    while (m_withinBound && !error && !restDone()) {
        if (!whole && !m_sender->takeMemory(m_ticket, PartBytes)) {
            break;
        }
        error = co_await m_rest->read(m_buffer, PartBytes);
    }
    co_return error;
}

std::uint64_t PacedBody::bytesLeft() const
{
    const auto whole = length();
    return whole ? *whole - m_sent : m_buffer.size() - m_sentFromBuffer + PartBytes;
}

asio::awaitable<bool> PacedBody::waitForFirstPart()
{
    m_granted = co_await m_sender->waitForPart(m_ticket, bytesLeft(), m_connection);
    m_givenUp = m_granted == 0;
    co_return m_granted > 0;
}

bool PacedBody::givenUp() const
{
    return m_givenUp;
}

asio::awaitable<ErrorCode> PacedBody::read(std::string &part, std::size_t limit)
{
    if (m_granted == 0) {
        m_granted = co_await m_sender->waitForPart(m_ticket, bytesLeft(), m_connection);
    }
    if (m_granted == 0) {
        m_givenUp = true;
        co_return asio::error::operation_aborted;
    }
    const auto count = std::min<std::uint64_t>(limit, m_granted);
    const auto begin = part.size();
    ErrorCode error;
    if (m_sentFromBuffer < m_buffer.size()) {
        const auto taken = std::min<std::uint64_t>(count, m_buffer.size() - m_sentFromBuffer);
        part.append(m_buffer, m_sentFromBuffer, taken);
        m_sentFromBuffer += taken;
    } else {
        error = co_await m_rest->read(part, count);
    }
    const auto taken = part.size() - begin;
    m_sent += taken;
    m_granted -= std::min<std::uint64_t>(taken, m_granted);
    co_return error;
}

bool PacedBody::done() const
{
    return m_sentFromBuffer == m_buffer.size() && restDone();
}

bool PacedBody::readStarted() const
{
    return m_sent > 0;
}

std::optional<std::uint64_t> PacedBody::length() const
{
    return m_rest ? m_rest->length() : m_buffer.size();
}

}
