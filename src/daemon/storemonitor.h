#pragma once

#include "adapters/http/asio.h"
#include "common/error.h"
#include "core/fleet/storefreshness.h"
#include "ports/logger.h"

#include <functional>
#include <memory>

namespace Galenahill {

// Keeps the last reading of the store fresh at this node: checks the store when StoreFreshness asks for it, and exchanges
// readings with other members.
class StoreMonitor
{
public:
    struct Options
    {
        asio::io_context &context;
        StoreFreshness::Options freshness;
        Logger log;
        // Compares the store's version with the known one, and takes what is newer; returns the version that was read.
        std::function<asio::awaitable<Result<ObjectVersion>>(ObjectVersion known)> check;
        // Whether the node reads the store all the time because its watch fails.
        std::function<bool()> rereads;
        // The revision in force.
        std::function<Revision()> revision;
        // A member advertised a revision above the one in force.
        std::function<void(const Endpoint &member, Revision revision)> revisionAdvertised;
        std::function<void(const Endpoint &, const StoreReading &)> send;
        const bool &stopping;
    };

    explicit StoreMonitor(Options options);
    ~StoreMonitor();

    void setMembers(const std::vector<MemberRecord> &live);

    // Starts a check of the store if one is due; to be called every 100 ms.
    void tick();

    // This node read the store, as it was at that time: as a whole, or changes that a watch returned. Other watchers get those
    // from their own watches.
    void storeRead(ObjectVersion version, TimePoint asOf, bool all);

    // A call to the store failed.
    void storeFailed();

    // Handles a reading that another node sent.
    void readingReceived(const Endpoint &from, const StoreReading &reading);

    // Whether this node stands in for the watchers.
    bool standsIn() const;

    // Time since the last reading, and the number of checks and of those that failed.
    Milliseconds age() const;
    std::uint64_t checks() const;
    std::uint64_t failedChecks() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

}
