#pragma once

#include "adapters/platform/documentstore.h"
#include "core/calls/callheadernames.h"
#include "core/config/platformnodesettings.h"
#include "core/rollouts/rolloutcontroller.h"
#include "daemon/configwatcher.h"
#include "daemon/targetservice.h"
#include "ports/logger.h"

#include <functional>
#include <memory>
#include <string>

namespace Galenahill {

// A node whose configuration is one document in the platform's store, and whose target
// announces itself. Runs on one thread; the platform's names and formats are passed in
// through the options.
class PlatformNode
{
public:
    struct Options
    {
        PlatformNodeSettings settings;
        CallHeaderNames headerNames;
        // Kind and name of the configuration document in the store, and its decoder.
        std::string configKind;
        std::string configName;
        ConfigDecoder decodeConfig;
        // Kind of the rollout documents in the store, their decoder and the encoder of
        // their status. An empty kind disables rollouts.
        std::string rolloutKind;
        std::function<Result<StoredRollout>(const StoredDocument &document)> decodeRollout;
        std::function<std::string(const RolloutWrite &write)> encodeRolloutStatus;
        // Decodes the target's requests to the registration address.
        std::function<Result<TargetMessage>(const HttpRequest &request)> decodeTarget;
        // Opens the store through the given client.
        std::function<std::unique_ptr<DocumentStore>(HttpClient &client)> openStore;
        Logger log;
    };

    PlatformNode(asio::io_context &context, Options options);
    ~PlatformNode();

    // Opens the ports and starts the node. Invalid if an address is in use.
    Result<void> start();

    // Applies the changed settings that can change while the node runs, and logs whether
    // others changed that need a restart.
    void reload(const PlatformNodeSettings &settings);

    // Begins a planned stop: the node announces it to callers and other nodes, lets calls
    // in flight finish and then stops the context.
    void stop();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
