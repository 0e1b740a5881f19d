#pragma once

#include "common/endpoint.h"
#include "common/identifiers.h"

#include <functional>
#include <map>
#include <optional>

namespace Galenahill {

// Decides from which member to pull a newer revision, and when to hedge with another one. Callers
// pass the time in.
class RevisionPuller
{
public:
    struct Options
    {
        // Time after which a second member is asked in parallel.
        Milliseconds hedgeDelay{250};
        // Time for which a newer revision may be known before it is pulled from a member. A node
        // that watches the store gives its own watch this time, since a pull would transfer the
        // same change once more. Null for none.
        std::function<Milliseconds()> watchGracePeriod;
        std::size_t maxRunning = 2;
        std::size_t maxSources = 16;
        // Starts a pull; `pullEnded` must be called for each.
        std::function<void(const Endpoint &)> pull;
        // Returns the revision that this node holds.
        std::function<Revision()> revision;
    };

    explicit RevisionPuller(Options options);

    // A member advertised the revision that it has in force.
    void revisionAdvertised(const Endpoint &peer, Revision revision, TimePoint now);

    // The pull from that member has ended, successfully or not.
    void pullEnded(const Endpoint &peer, TimePoint now);

    // Starts pulls whose grace period is over, and hedges slow ones.
    void tick(TimePoint now);

private:
    void start(TimePoint now);
    bool withinWatchGracePeriod(TimePoint now) const;

    Options m_options;
    std::map<Endpoint, Revision> m_sources;
    // Time since which this node has been behind.
    TimePoint m_behindSince = TimePoint::max();
    std::map<Endpoint, TimePoint> m_running;
    TimePoint m_lastStart;
};

}
