#pragma once

#include "adapters/http/serverconnection.h"

#include <optional>

namespace Galenahill {

// The caller's connection as one attempt sees it. The attempt can be cancelled on its own, and is
// cancelled with the caller. The caller's connection must outlive this object.
class AttemptConnection : public ServerConnection
{
public:
    explicit AttemptConnection(ServerConnection &caller);
    ~AttemptConnection() override;

    AttemptConnection(const AttemptConnection &) = delete;
    AttemptConnection &operator=(const AttemptConnection &) = delete;

    bool peerClosed() override;
    std::string peerAddress() const override;
    bool usesLink() const override;
    Cancellation &cancellation() override;
    BodySource *requestBody() override;
    asio::awaitable<StreamResult> sendStreamed(HttpResponse response, BodySource &rest) override;

    // Whether a streamed response to the caller has started, so that another attempt is no longer
    // possible.
    bool responseStarted() const;

    // How the streamed response ended; empty if there was none, or it is being sent.
    const std::optional<StreamResult> &streamResult() const;

private:
    ServerConnection &m_caller;
    Cancellation m_cancellation;
    bool m_responseStarted = false;
    std::optional<StreamResult> m_streamResult;
};

}
