#pragma once

#include "core/fleet/memberrecord.h"
#include "core/rollouts/rolloutrecord.h"
#include "core/rollouts/shareplan.h"
#include "core/rollouts/versioncounts.h"
#include "core/rollouts/versionrule.h"
#include "core/rollouts/versiontest.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Galenahill {

// An order as it lies in the store, with what the store holds of its end.
struct StoredRollout
{
    RolloutOrder order;
    // The store's version of the object.
    ObjectVersion version;
    // Stage in the store: Running, RolledBack or Succeeded; none: not begun.
    std::optional<RolloutStage> stage;
};

// A stage that has to be written to the store, if it still has that version.
struct RolloutWrite
{
    RolloutOrder order;
    RolloutStage stage = RolloutStage::Running;
    ObjectVersion expected;
    std::string reason;
};

// Carries out operators' orders to move a service's calls to another version of its
// targets: shares, comparison, cut-off, promotion and the end in the store.
//
// Every node keeps the shares and counts its own target's answers. A few of each data
// centre, the judges, get all counts, and follow and write the store; any of them may
// decide, and what they decide differently is settled by the stages' order and by the
// store's conditional write. Single-threaded; time comes in through arguments, and
// datagrams leave through a hook.
class RolloutControl
{
public:
    struct Options
    {
        MemberRecord self;
        std::uint64_t seed = 1;
        // Share of a service's calls that a bad version may get.
        double exposureShare = 0.1;
        // Time between two reports to other nodes while a rollout goes on, and
        // afterwards.
        Milliseconds reportInterval{200};
        Milliseconds restInterval{2000};
        // Members that get each report of the stages.
        std::size_t fanOut = 2;

        std::function<void(const Endpoint &to, const RolloutReport &report)> send;
        // Whether no call runs at the own target, and none waits there.
        std::function<bool()> targetIdle;
        // An order was taken up or is at another stage; says why.
        std::function<void(const RolloutRecord &record, const std::string &why)> changed;
    };

    explicit RolloutControl(Options options);
    ~RolloutControl();

    // All members that aren't gone, with this one.
    void setMembers(const std::vector<MemberRecord> &members, TimePoint now);

    // Version of the own target, and until when it is slow after its start.
    void setOwnVersion(const TargetVersion &version, TimePoint warmFrom);

    // An order was read from the store: in a list of all, or as a change.
    void orderRead(const StoredRollout &stored, bool listed, TimePoint now);

    // The operator removed the order for that service.
    void orderRemoved(const ServiceName &service, TimePoint now);

    // All orders in the store at that version; the others were removed.
    void ordersListed(const std::vector<ServiceName> &services, ObjectVersion version, TimePoint now);

    // A report of another node came.
    void receive(const Endpoint &from, const RolloutReport &report, TimePoint now);

    // The own target ended a call of the route after that time.
    void callEnded(const RouteName &route, TargetEnd end, Milliseconds time, TimePoint now);

    // Does what is due; call it every 100 ms.
    void tick(TimePoint now);

    // What the rollouts say of each service's targets now.
    VersionRules rules(TimePoint now) const;

    // The same for the own target. It keeps what this node promised to the judges,
    // unless the store holds the end.
    std::optional<VersionRule> ownRule(TimePoint now) const;

    // Whether this node follows the store's orders and writes their ends.
    bool isJudge() const;

    // What this node has to write now; each write is given out once a second until
    // it is answered by `written` or by a stored order.
    std::vector<RolloutWrite> dueWrites(TimePoint now);

    // A write was done.
    void written(const RolloutWrite &write, ObjectVersion version, TimePoint now);

    // Reports, and parts of reports, that were dropped: from an unknown sender, of an
    // unknown node, or out of range.
    std::uint64_t dropped() const;

    // The rollouts that this node knows, and the scores of their tests; for the log
    // and the metrics.
    struct Status
    {
        RolloutRecord record;
        SharePlan::Step step;
        std::string test;
        std::uint64_t calls = 0;
        std::uint64_t failures = 0;
    };
    std::vector<Status> status(TimePoint now) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
