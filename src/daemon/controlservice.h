#pragma once

#include "adapters/http/httpclient.h"
#include "adapters/http/httpserver.h"
#include "core/calls/servicelevelmetrics.h"
#include "core/config/configrepository.h"
#include "core/customers/customercounters.h"
#include "daemon/nodestate.h"
#include "daemon/revisionexchange.h"

#include <functional>
#include <memory>
#include <string>

namespace Galenahill {

// Serves the control port: other nodes' requests for members and revisions, and
// operators' JSON-RPC requests.
class ControlService
{
public:
    struct Options
    {
        asio::io_context &context;
        std::shared_ptr<NodeState> state;
        ConfigRepository &repository;
        RevisionExchange &exchange;
        // Counters for the status, as the text of a JSON object.
        std::function<std::string()> counters;
        const ServiceLevelMetrics &metrics;
        const CustomerCounters &customers;
        // An operator's change was accepted through this node as this revision.
        std::function<void(std::shared_ptr<const ConfigRevision>)> revisionAccepted;
    };

    explicit ControlService(Options options);
    ~ControlService();

    asio::awaitable<HttpResponse> handle(HttpRequest request);

    // Waits until running operator requests have ended.
    void stop();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
