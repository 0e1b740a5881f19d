#pragma once

#include "adapters/platform/documentstore.h"
#include "core/rollouts/rolloutcontroller.h"
#include "ports/logger.h"

#include <functional>
#include <memory>

namespace Galenahill {

// Connects the rollout controller with the store, the other nodes and the log.
class RolloutService
{
public:
    struct Options
    {
        asio::io_context &context;
        DocumentStore &store;
        // Kind of the documents in the store that hold the rollouts' specs; empty if rollouts are not used.
        std::string kind;
        std::function<Result<StoredRollout>(const StoredDocument &document)> decode;
        std::function<std::string(const RolloutWrite &write)> encodeStatus;
        MemberRecord self;
        std::uint64_t seed = 1;
        double exposureShare = 0.1;
        // Whether the whole fleet starts for the first time, so that no spec can be older than this node.
        bool firstStart = false;
        Logger log;
        std::function<void(const Endpoint &to, const RolloutReport &report)> send;
        std::function<bool()> targetIdle;
        // Called when the version rules may have changed.
        std::function<void()> rulesChanged;
        const bool &stopping;
    };

    explicit RolloutService(Options options);
    ~RolloutService();

    void start();
    void tick();
    void reportReceived(const Endpoint &from, const RolloutReport &report);
    void setMembers(const std::vector<MemberRecord> &members);
    void setLocalVersion(const TargetVersion &version, Milliseconds warmUpLeft);
    void callEnded(const RouteName &route, TargetResult result, std::chrono::microseconds time);

    // Whether this node has read the specs in the store, or has stopped waiting for the store. Until
    // then its target must not get calls.
    bool isSynced() const;

    VersionRules rules() const;
    std::optional<VersionRule> localRule() const;

    // Metrics in the Prometheus text format: stage, share, calls and failures by service and version.
    std::string metricsText() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

}
