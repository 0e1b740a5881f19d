#pragma once

#include "core/fleet/memberrecord.h"
#include "core/fleet/storereading.h"

#include <memory>
#include <optional>
#include <vector>

namespace Galenahill {

// Knows how long ago a member of the fleet provably read the store, and decides when this node has to check the store itself
// and which members to tell of a reading.
//
// A watch that waits proves nothing. The watchers therefore take turns in reading the store's version, and tell each other and
// the members of their data centres. If no reading arrives, further members check the store one after the other. One that
// has to do so repeatedly stands in for the watchers until one of them reads the store again. Single-threaded; callers pass the time in.
class StoreFreshness
{
public:
    struct Options
    {
        MemberRecord self;
        std::uint64_t seed = 1;
        // Watchers per data centre; see WatcherSelection.
        std::uint32_t watchers = 4;
        // Age of the last reading from which a watcher checks the store, and the random part of it for each watcher of the fleet,
        // so that one of them is first.
        Milliseconds watcherAge{800};
        Milliseconds watcherSpread{80};
        // The same for the other members of a data centre. Each has a place in an order, and waits that much longer for each
        // place before it.
        Milliseconds memberAge{1500};
        Milliseconds memberSpread{250};
        Milliseconds memberStep{250};
        // Back-off after a failed check, doubled by each further failure.
        Milliseconds minBackOff{400};
        Milliseconds maxBackOff{3200};
        // Time between two checks by a member up to which it begins to stand in for the watchers: one check may be due to the loss
        // of a message.
        Milliseconds repeatedCheckTime{4000};
        // Time for which a member stands in, and the age up to which a watcher's reading ends that.
        Milliseconds standInTime{10000};
        Milliseconds watcherReadingAge{3000};
        // Interval between two readings that are passed on to members.
        Milliseconds forwardInterval{500};
        // When this node started, and the time after that for which it checks nothing: it may not know the watchers yet, and reads
        // the store at its start anyway.
        TimePoint started;
        Milliseconds startDelay{3000};
    };

    explicit StoreFreshness(Options options);
    ~StoreFreshness();

    // Sets the live members.
    void setMembers(const std::vector<MemberRecord> &live);

    // Takes this node's own reading, or one that a member sent. The revision must not be above the one in force. Returns whether
    // it is newer than the last one.
    bool update(const StoreReading &reading, TimePoint now);

    // Whether that address belongs to a live member.
    bool isMember(const Endpoint &from) const;

    // The last reading, with its age.
    std::optional<StoreReading> last(TimePoint now) const;

    // Time since the last reading, or since the start if there is none.
    Milliseconds age(TimePoint now) const;

    // Whether the store has to be checked now. Each check must end with one of the other two functions. A failure of another
    // call to the store counts like that of a check.
    bool startCheck(TimePoint now);
    void checkSucceeded(TimePoint now);
    void checkFailed(TimePoint now);

    // Whether this node stands in for the watchers.
    bool standsIn(TimePoint now);

    // The members to tell of the last reading: all watchers if wanted, and this watcher's part of its data centre, unless they were
    // told just before.
    std::vector<Endpoint> recipients(bool toWatchers, TimePoint now);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
