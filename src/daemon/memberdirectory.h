#pragma once

#include "adapters/http/httpclient.h"
#include "adapters/platform/documentstore.h"
#include "core/fleet/memberrecord.h"
#include "ports/logger.h"

#include <functional>
#include <memory>
#include <vector>

namespace Galenahill {

// How a node finds the others: each writes its addresses into the store once,
// a starting one reads them all and asks a few of those for the members that
// they know. From then on gossip keeps the members current. With the store
// out, the seeds of the settings serve, and members that lost this one ask it.
class MemberDirectory
{
public:
    struct Options
    {
        asio::io_context &context;
        DocumentStore &store;
        HttpClient &client;
        MemberRecord self;
        // Whether the whole fleet starts for the first time. Otherwise an earlier
        // process of this node may have written its contact.
        bool firstStart = true;
        std::vector<Endpoint> seeds;
        std::uint64_t seed = 1;
        Logger log;
        // Members that the store lists, and those that another member does.
        std::function<void(const std::vector<MemberRecord> &)> listed;
        std::function<void(const std::vector<MemberRecord> &)> found;
        // Addresses of the other live members known.
        std::function<std::vector<Endpoint>()> others;
        // Whether a member of that name is known, given up or not, and whether this
        // node is the one of its data centre that removes what nobody knows.
        std::function<bool(const NodeName &)> known;
        std::function<bool()> sweeps;
        // Time between two sweeps. Members that were given up are remembered for two
        // hours, and one list an hour and data centre is little beside them.
        Milliseconds sweepInterval{3600000};
        const bool &stopping;
    };

    explicit MemberDirectory(Options options);
    ~MemberDirectory();

    void start();

    // Whether the store was asked for members, or could not be for some time.
    bool consulted() const;

    // Takes this node's addresses out of the store.
    asio::awaitable<void> withdraw();

private:
    class Private;
    std::shared_ptr<Private> d;
};

// A member's addresses as its document in the store holds them.
std::string contactDocument(const MemberRecord &record);
Result<MemberRecord> contactFromDocument(const std::string &content);

}
