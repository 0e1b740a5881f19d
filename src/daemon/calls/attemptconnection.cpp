#include "daemon/calls/attemptconnection.h"

namespace Galenahill {

AttemptConnection::AttemptConnection(ServerConnection &caller)
    : m_caller(caller)
{
    m_caller.cancellation().setHook([this] { m_cancellation.cancel(); });
}

AttemptConnection::~AttemptConnection()
{
    m_caller.cancellation().setHook(nullptr);
}

bool AttemptConnection::peerClosed()
{
    return m_caller.peerClosed();
}

std::string AttemptConnection::peerAddress() const
{
    return m_caller.peerAddress();
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

asio::awaitable<StreamResult> AttemptConnection::sendStreamed(HttpResponse response, BodySource &rest)
{
    m_responseStarted = true;
    m_streamResult = co_await m_caller.sendStreamed(std::move(response), rest);
    co_return *m_streamResult;
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
