#pragma once

#include "adapters/platform/documentstore.h"
#include "core/config/configbundle.h"
#include "ports/logger.h"

#include <functional>
#include <memory>

namespace Galenahill {

// A configuration document that an operator wrote, decoded.
struct DecodedConfig
{
    Revision revision;
    ConfigDefinitions definitions;
};

using ConfigDecoder = std::function<Result<DecodedConfig>(const std::string &content)>;

// Makes a revision of a document's text. A document that doesn't decode, or
// whose parts don't fit each other, is refused as a whole.
Result<std::shared_ptr<const ConfigRevision>> revisionOf(std::string content, const ConfigDecoder &decode);

// Follows the one document that holds the whole configuration: reads it once,
// and watches its kind while this node has that role. The others fetch what the
// watchers found, as a delta from a member.
class ConfigFollower
{
public:
    struct Options
    {
        asio::io_context &context;
        DocumentStore &store;
        std::string kind;
        std::string name;
        ConfigDecoder decode;
        std::uint64_t seed = 1;
        Logger log;
        std::function<void(std::shared_ptr<const ConfigRevision>)> found;
        // The store answered; zero if it has no configuration yet.
        std::function<void(Revision)> storeAnswered;
        std::function<void()> storeFailed;
        // Whether this node watches.
        std::function<bool()> watches;
        const bool &stopping;
    };

    explicit ConfigFollower(Options options);
    ~ConfigFollower();

    void start();

    // Revisions in the store that were refused as a whole since the start.
    std::uint64_t refused() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
