#pragma once

#include "adapters/platform/documentstore.h"
#include "core/calls/calldialect.h"
#include "core/config/platformnodesettings.h"
#include "core/rollouts/rolloutcontrol.h"
#include "daemon/configfollower.h"
#include "daemon/targetservice.h"
#include "ports/logger.h"

#include <functional>
#include <memory>
#include <string>

namespace Galenahill {

// A node whose configuration is one document in the platform's store, and
// whose target announces itself. Runs on one thread; what the platform calls
// things comes in through the options.
class PlatformNode
{
public:
    struct Options
    {
        PlatformNodeSettings settings;
        CallDialect dialect;
        // Where the configuration lies in the store, and how to read it.
        std::string configKind;
        std::string configName;
        ConfigDecoder decodeConfig;
        // Where orders of rollouts lie, and how to read them and to write their end. An
        // empty kind: there are none.
        std::string rolloutKind;
        std::function<Result<StoredRollout>(const StoredDocument &document)> decodeRollout;
        std::function<std::string(const RolloutWrite &write)> encodeRolloutStatus;
        // How to read what the target says.
        std::function<Result<TargetMessage>(const HttpRequest &request)> decodeTarget;
        // Opens the store through the node's client.
        std::function<std::unique_ptr<DocumentStore>(HttpClient &client)> openStore;
        Logger log;
    };

    PlatformNode(asio::io_context &context, Options options);
    ~PlatformNode();

    // Listens and starts to work. Invalid if an address is taken.
    Result<void> start();

    // Takes changed settings: those that can change while a node runs. Names
    // the others in the log.
    void reload(const PlatformNodeSettings &settings);

    // Begins a planned stop: callers and the other nodes are told, calls in
    // flight finish, then the context is stopped.
    void stop();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
