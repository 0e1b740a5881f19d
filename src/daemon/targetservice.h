#pragma once

#include "adapters/http/httpclient.h"
#include "adapters/http/httpmessage.h"
#include "core/fleet/targetregistration.h"
#include "ports/logger.h"

#include <functional>
#include <memory>
#include <optional>
#include <variant>

namespace Galenahill {

// A target's notice that it accepts no more calls.
struct TargetDeparture
{
    std::string id;
    std::optional<std::int64_t> startedAt;
};

using TargetMessage = std::variant<TargetAnnouncement, TargetDeparture>;

// Handles the announcements of the local target, and reports its state to the sidecar and the other
// nodes.
class TargetService
{
public:
    struct Options
    {
        asio::io_context &context;
        HttpClient &client;
        TargetRegistration::Options registration;
        // Decodes a request to the registration endpoint. Returns Invalid if the request does not describe
        // a target; it then changes nothing.
        std::function<Result<TargetMessage>(const HttpRequest &request)> decode;
        // Returns the path of the service's health check.
        std::function<std::string()> healthPath;
        // Header field of health check responses that holds the target's id; empty if there is none.
        std::string targetIdField;
        Logger log;
        // Called with each response of the target to a health check that was sent at that time. May be null.
        std::function<void(const HttpResponse &response, TimePoint sentAt)> responded;
        // Returns the time since the target last stated the rate limit in force; nothing without a
        // limit. May be null.
        std::function<std::optional<Milliseconds>()> rateLimitAge;
        // Called when the target's state, id, slots or version changes. Returns only after the sidecar has
        // stopped sending calls to a target that accepts none, so that this precedes the response to the
        // target.
        std::function<void(const TargetAnnouncement &target, MemberState state)> changed;
    };

    explicit TargetService(Options options);
    ~TargetService();

    asio::awaitable<HttpResponse> handle(HttpRequest request);

    // Checks for a heartbeat timeout of the target. To be called a few times a second.
    void tick();

    // Records that the target could not be reached.
    void targetUnreachable();

    // Records that the target with that id and start time stated that it is leaving.
    void targetLeaving(const std::string &id, std::int64_t startedAt);

    MemberState state() const;

    // The target's last announcement, if any.
    const std::optional<TargetAnnouncement> &target() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

}
