#pragma once

#include "adapters/http/asio.h"
#include "core/config/configbundle.h"
#include "core/customers/tokenlessee.h"
#include "daemon/metricstext.h"
#include "ports/logger.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Galenahill {

// Executes the decisions of the customers' limits: calls wait here for the tokens that the lessee
// obtains, and the grantor answers other nodes. Used on the data thread only.
class CustomerLimits
{
public:
    struct Options
    {
        asio::io_context &context;
        MemberRecord self;
        std::uint64_t seed = 1;
        // Whether the fleet starts for the first time, so that bursts are available at once.
        bool firstStart = false;
        Logger log;
        std::function<void(const Endpoint &, const LeaseMessage &)> send;
    };

    explicit CustomerLimits(Options options);
    ~CustomerLimits();

    // Takes a token for a call of the customer; waits for at most 60 ms.
    asio::awaitable<TokenDecision> acquire(CustomerName customer);

    // Takes back the token of a call that did not run.
    void release(const CustomerName &customer, const TokenDecision &granted);

    // Call it several times a second.
    void tick();

    // Any datagram has arrived from another node.
    void heard();

    void messageReceived(const Endpoint &from, const LeaseMessage &message);

    // Sets all known members, also those that left or are gone.
    void setMembers(const std::vector<MemberRecord> &members);

    // Sets the revision in force; null if there is none.
    void setConfig(const std::shared_ptr<const ConfigRevision> &config);

    // What was granted, denied and sent so far.
    NodeGauges gauges() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

// Why the call of the customer was denied, for its log and the caller.
std::string denialText(const CustomerName &customer, const TokenDecision &denied);

}
