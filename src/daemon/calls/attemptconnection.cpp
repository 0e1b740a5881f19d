#include "daemon/calls/attemptconnection.h"

namespace Galenahill {

AttemptConnection::AttemptConnection(ServerConnection &caller)
    : m_caller(caller)
{
    m_caller.cancellation().setHook([this] {
        m_cancellation.cancel();
        if (m_replacement != nullptr) {
            m_replacement->m_cancellation.cancel();
        }
    });
}

AttemptConnection::AttemptConnection(AttemptConnection &replaced)
    : m_caller(replaced.m_caller)
    , m_isReplacement(true)
    , m_replaced(&replaced)
{
    replaced.m_replacement = this;
    if (m_caller.cancellation().cancelled()) {
        m_cancellation.cancel();
    }
}

AttemptConnection::~AttemptConnection()
{
    if (m_replacement != nullptr) {
        m_replacement->m_replaced = nullptr;
    }
    if (m_replaced != nullptr) {
        m_replaced->m_replacement = nullptr;
    }
    if (!m_isReplacement) {
        m_caller.cancellation().setHook(nullptr);
    }
}

bool AttemptConnection::peerClosed()
{
    return m_caller.peerClosed();
}

std::string AttemptConnection::peerAddress() const
{
    return m_caller.peerAddress();
}

std::uint16_t AttemptConnection::peerPort() const
{
    return m_caller.peerPort();
}

// Only an ingress creates this class, and passes it to the sidecar in its own process.
bool AttemptConnection::usesLink() const
{
    return false;
}

Cancellation &AttemptConnection::cancellation()
{
    return m_cancellation;
}

BodySource *AttemptConnection::requestBody()
{
    return m_caller.requestBody();
}

void AttemptConnection::setResponseHook(std::function<bool()> mayRespond)
{
    m_mayRespond = std::move(mayRespond);
}

asio::awaitable<StreamResult> AttemptConnection::sendStreamed(HttpResponse response, BodySource &rest)
{
    if (m_mayRespond && !m_mayRespond()) {
        co_return StreamResult{.error = asio::error::operation_aborted};
    }
    m_responseStarted = true;
    m_streamResult = co_await m_caller.sendStreamed(std::move(response), rest);
    co_return *m_streamResult;
}

bool AttemptConnection::isReplacement() const
{
    return m_isReplacement;
}

const std::optional<StreamResult> &AttemptConnection::streamResult() const
{
    return m_streamResult;
}

bool AttemptConnection::responseStarted() const
{
    return m_responseStarted;
}

}
