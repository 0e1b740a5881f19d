#pragma once

#include "adapters/http/serverconnection.h"

#include <functional>
#include <optional>

namespace Galenahill {

// The caller's connection as one attempt sees it. The attempt can be cancelled on its own, and is
// cancelled with the caller. The caller's connection must outlive this object's use.
class AttemptConnection : public ServerConnection
{
public:
    explicit AttemptConnection(ServerConnection &caller);

    // The connection of an attempt that is made beside a running one, which must not be a replacement
    // itself.
    explicit AttemptConnection(AttemptConnection &replaced);

    ~AttemptConnection() override;

    AttemptConnection(const AttemptConnection &) = delete;
    AttemptConnection &operator=(const AttemptConnection &) = delete;

    bool peerClosed() override;
    std::string peerAddress() const override;
    std::uint16_t peerPort() const override;
    bool usesLink() const override;
    Cancellation &cancellation() override;
    BodySource *requestBody() override;
    asio::awaitable<StreamResult> sendStreamed(HttpResponse response, BodySource &rest) override;

    // Sets what decides whether a streamed response may start. If it returns false, the response is not
    // sent, since another attempt responds.
    void setResponseHook(std::function<bool()> mayRespond);

    bool isReplacement() const;

    // Whether a streamed response to the caller has started, so that another attempt is no longer
    // possible.
    bool responseStarted() const;

    // How the streamed response ended; empty if there was none, or it is being sent.
    const std::optional<StreamResult> &streamResult() const;

private:
    ServerConnection &m_caller;
    Cancellation m_cancellation;
    const bool m_isReplacement = false;
    // The attempt that this one replaces, and the one that replaces this one; null if none.
    AttemptConnection *m_replaced = nullptr;
    AttemptConnection *m_replacement = nullptr;
    std::function<bool()> m_mayRespond;
    bool m_responseStarted = false;
    std::optional<StreamResult> m_streamResult;
};

}
