#pragma once

#include "adapters/http/httpclient.h"
#include "adapters/platform/documentstore.h"
#include "core/fleet/memberrecord.h"
#include "ports/logger.h"

#include <functional>
#include <memory>
#include <vector>

namespace Galenahill {

// Lets nodes find each other. Each node writes its addresses into the store once, as a
// contact; a starting node lists the contacts and queries a few of them for the members
// that they know. From then on gossip keeps the membership current. While the store is
// unavailable, a node uses the seeds of its settings, and members that had declared it
// gone reconnect to it.
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
        // process of this node may have left its contact in the store.
        bool firstStart = true;
        std::vector<Endpoint> seeds;
        std::uint64_t seed = 1;
        Logger log;
        // Called with the members that the store lists, and with those that a contact lists.
        std::function<void(const std::vector<MemberRecord> &)> storedMembersReceived;
        std::function<void(const std::vector<MemberRecord> &)> membersReceived;
        // Control addresses of the other live members.
        std::function<std::vector<Endpoint>()> peerAddresses;
        // Whether a member of that name is known, even one that was declared gone, and
        // whether this node is the one of its data centre that removes stale contacts.
        std::function<bool(const NodeName &)> isKnown;
        std::function<bool()> shouldSweep;
        // Time between two sweeps of stale contacts. Gone members are remembered for two
        // hours, and one list an hour in each data centre costs little.
        Milliseconds sweepInterval{3600000};
        const bool &stopping;
    };

    explicit MemberDirectory(Options options);
    ~MemberDirectory();

    void start();

    // Whether the store's contacts were listed, or the store has been unavailable for some time.
    bool initialLookupDone() const;

    // Removes this node's contact from the store.
    asio::awaitable<void> deregister();

private:
    class Private;
    std::shared_ptr<Private> d;
};

// Encodes a member's addresses as its contact document in the store, and decodes them.
std::string contactDocument(const MemberRecord &record);
Result<MemberRecord> contactFromDocument(const std::string &content);

}
