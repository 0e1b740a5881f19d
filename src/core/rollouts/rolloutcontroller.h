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

// A rollout spec as read from the store, with the stage that the store holds.
struct StoredRollout
{
    RolloutSpec spec;
    // The store's version of the object.
    ObjectVersion version;
    // Stage in the store: Running, RolledBack or Succeeded; none if no stage has been written yet.
    std::optional<RolloutStage> stage;
};

// A stage to write to the store, provided that the object still has the expected version.
struct RolloutWrite
{
    RolloutSpec spec;
    RolloutStage stage = RolloutStage::Running;
    ObjectVersion expected;
    std::string reason;
};

// Carries out rollouts, which move a service's calls to another version of its targets: traffic
// shares, comparison with the old version, cut-off, promotion, and writing the final stage to the
// store.
//
// Every node applies the shares and counts the responses of its local target. A few nodes of each
// data centre, the evaluators, receive all counts, watch the specs in the store and write the
// stages there. Any of them may decide; conflicting decisions are resolved by the order of the
// stages and by the store's conditional write. Single-threaded; time comes in through arguments,
// and datagrams leave through a callback.
class RolloutController
{
public:
    struct Options
    {
        MemberRecord self;
        std::uint64_t seed = 1;
        // Largest share of a service's calls that a bad version may get.
        double exposureShare = 0.1;
        // Interval of reports to other nodes while a rollout is active, and afterwards.
        Milliseconds reportInterval{200};
        Milliseconds idleInterval{2000};
        // Number of members that each report of the stages is sent to.
        std::size_t fanOut = 2;

        std::function<void(const Endpoint &to, const RolloutReport &report)> send;
        // Whether the local target runs no calls and none is queued for it.
        std::function<bool()> targetIdle;
        // Called with the reason when a rollout starts or reaches another stage.
        std::function<void(const RolloutRecord &record, const std::string &why)> changed;
    };

    explicit RolloutController(Options options);
    ~RolloutController();

    // Sets all members that aren't gone, including this one.
    void setMembers(const std::vector<MemberRecord> &members, TimePoint now);

    // Sets the version of the local target, and the time from which it is warm; until then its
    // latencies aren't counted.
    void setLocalVersion(const TargetVersion &version, TimePoint warmFrom);

    // A spec was read from the store, either in a list of all or as a change.
    void specRead(const StoredRollout &stored, bool listed, TimePoint now);

    // An operator removed the rollout of that service.
    void specRemoved(const ServiceName &service, TimePoint now);

    // The services of all specs in the store at that version; rollouts of other services were
    // removed.
    void specsListed(const std::vector<ServiceName> &services, ObjectVersion version, TimePoint now);

    // Handles a report from another node.
    void receive(const Endpoint &from, const RolloutReport &report, TimePoint now);

    // The local target finished a call of the route with that latency.
    void callEnded(const RouteName &route, TargetResult result, Milliseconds time, TimePoint now);

    // Sends reports and evaluates the rollouts when due; call it every 100 ms.
    void tick(TimePoint now);

    // The rules that the rollouts currently impose on the targets of each service.
    VersionRules rules(TimePoint now) const;

    // The rule for the local target. It keeps the retirement lease that this node has reported to
    // the evaluators, unless the store holds the final stage.
    std::optional<VersionRule> localRule(TimePoint now) const;

    // Whether this node watches the specs in the store and writes the stages.
    bool isEvaluator() const;

    // Number of evaluators that rank before this node.
    std::size_t evaluatorRank() const;

    // Stages that this node has to write now. Each is returned once a second until `writeCompleted`
    // is called for it or the stage is read from the store.
    std::vector<RolloutWrite> dueWrites(TimePoint now);

    // A write to the store succeeded.
    void writeCompleted(const RolloutWrite &write, ObjectVersion version, TimePoint now);

    // Number of reports, and of entries in reports, that were dropped because the sender or the
    // node is unknown or a value is out of range.
    std::uint64_t dropped() const;

    // The known rollouts and the scores of their statistical tests, for the log and the metrics.
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
