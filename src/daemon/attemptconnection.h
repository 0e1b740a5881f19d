#pragma once

#include "adapters/http/serverconnection.h"

namespace Galenahill {

// The caller's connection as one attempt sees it. The attempt can be cancelled
// without the caller, and is cancelled with it. The caller's connection must
// outlive this one.
class AttemptConnection : public ServerConnection
{
public:
    explicit AttemptConnection(ServerConnection &caller);
    ~AttemptConnection() override;

    AttemptConnection(const AttemptConnection &) = delete;
    AttemptConnection &operator=(const AttemptConnection &) = delete;

    bool peerClosed() override;
    std::string peerAddress() const override;
    Cancellation &cancellation() override;
    BodySource *requestBody() override;
    asio::awaitable<void> sendStreamed(HttpResponse response, BodySource &rest) override;

    // Whether the answer is being sent to the caller, so that it is too late
    // for another attempt.
    bool answering() const;

private:
    ServerConnection &m_caller;
    Cancellation m_cancellation;
    bool m_answering = false;
};

}
