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

// A target says that it leaves.
struct TargetLeaving
{
    std::string id;
    std::optional<std::int64_t> startedAt;
};

using TargetMessage = std::variant<TargetAnnouncement, TargetLeaving>;

// Takes the announcements of the target beside this node and keeps the sidecar
// and the other nodes informed of its state.
class TargetService
{
public:
    struct Options
    {
        asio::io_context &context;
        HttpClient &client;
        TargetRegistration::Options registration;
        // Reads a request to the registration address. An Invalid request names
        // no target, and changes nothing.
        std::function<Result<TargetMessage>(const HttpRequest &request)> decode;
        // Path at which a target of the service says how it is.
        std::function<std::string()> healthPath;
        // Field of a health answer that names the target; empty: none does.
        std::string targetIdField;
        Logger log;
        // The target's state, id, slots or version changed. The sidecar's door is shut
        // when this returns, before the target gets its answer.
        std::function<void(const TargetAnnouncement &target, MemberState state)> changed;
    };

    explicit TargetService(Options options);
    ~TargetService();

    asio::awaitable<HttpResponse> handle(HttpRequest request);

    // Looks whether the target has fallen silent; call it a few times a second.
    void tick();

    // A connection to the target was refused.
    void targetLost();

    MemberState state() const;

    // The target as it last announced itself; nothing before that.
    const std::optional<TargetAnnouncement> &target() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

}
