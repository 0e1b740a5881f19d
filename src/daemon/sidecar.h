#pragma once

#include "adapters/http/httpclient.h"
#include "adapters/http/httpserver.h"
#include "core/calls/callpolicy.h"
#include "core/calls/routingview.h"
#include "core/fleet/memberrecord.h"
#include "ports/logger.h"

#include <functional>
#include <memory>

namespace Galenahill {

// The only door to the target beside this node. It alone knows how many calls
// the target has in flight. Used on the data thread only.
class Sidecar
{
public:
    struct Options
    {
        asio::io_context &context;
        HttpClient &client;
        ServiceName service;
        Endpoint target;
        std::string healthPath;
        Logger log;
        CallPolicy policy;
        // The target began or ceased to take calls.
        std::function<void(MemberState)> stateChanged;
    };

    explicit Sidecar(Options options);
    ~Sidecar();

    // Starts to ask the target how it is.
    void start();

    void setView(const std::shared_ptr<const RoutingView> &view);

    // Handles one call that an ingress passed on.
    asio::awaitable<HttpResponse> handle(HttpRequest request, ServerConnection &connection);

    // Refuses every further call; those in flight finish.
    void drain();

    std::uint32_t inFlight() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

}
