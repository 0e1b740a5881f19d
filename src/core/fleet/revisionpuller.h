#pragma once

#include "common/endpoint.h"
#include "common/identifiers.h"

#include <functional>
#include <map>
#include <optional>

namespace Galenahill {

// Decides from which member to fetch a newer revision, and when to ask another
// one. Time comes in through arguments.
class RevisionPuller
{
public:
    struct Options
    {
        // Time after which a second member is asked beside the first.
        Milliseconds hedgeDelay{250};
        // Time for which a newer revision may be known before it is fetched from
        // a member. A node that watches the store gives its own watch so long,
        // since the fetch would bring the same change once more. Null: none.
        std::function<Milliseconds()> patience;
        std::size_t maxRunning = 2;
        std::size_t maxSources = 16;
        // Starts to fetch; `ended` must be called for each.
        std::function<void(const Endpoint &)> pull;
        // The revision that this node holds.
        std::function<Revision()> held;
    };

    explicit RevisionPuller(Options options);

    // A member was heard to have this revision in force.
    void heard(const Endpoint &peer, Revision revision, TimePoint now);

    // The fetch from that member has ended, for better or worse.
    void ended(const Endpoint &peer, TimePoint now);

    // Asks another member when the ones asked are slow.
    void tick(TimePoint now);

private:
    void start(TimePoint now);
    bool waitsForOwnWatch(TimePoint now) const;

    Options m_options;
    std::map<Endpoint, Revision> m_sources;
    // Since when this node has been behind.
    TimePoint m_behindSince = TimePoint::max();
    std::map<Endpoint, TimePoint> m_running;
    TimePoint m_lastStart;
};

}
