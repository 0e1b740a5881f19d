#pragma once

#include "adapters/http/httpclient.h"
#include "adapters/http/httpserver.h"
#include "core/calls/callpolicy.h"
#include "core/calls/retrybudget.h"
#include "core/calls/routingview.h"
#include "core/calls/servicelevelmetrics.h"
#include "core/calls/targetpicker.h"
#include "ports/logger.h"

#include <functional>
#include <memory>

namespace Galenahill {

// Takes calls from callers, finds the route and the target, and passes each
// call to the sidecar beside that target. Used on the data thread only.
class Ingress
{
public:
    struct Options
    {
        HttpClient &client;
        NodeName node;
        DataCentre dataCentre;
        std::uint64_t seed = 1;
        CallPolicy policy;
        // A call of a route got its final answer.
        std::function<void(const RouteDefinition &route, CallEnd end, std::chrono::microseconds latency)> callEnded;
    };

    explicit Ingress(Options options);
    ~Ingress();

    // Calls that begin from now on use this view.
    void setView(std::shared_ptr<const RoutingView> view);

    // Handles one call from its request to its final answer.
    asio::awaitable<HttpResponse> handle(HttpRequest request, ServerConnection &connection);

    // Attempts made after a call's first.
    std::uint64_t retries() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
