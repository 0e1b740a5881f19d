#pragma once

#include "adapters/platform/documentstore.h"
#include "core/config/configbundle.h"
#include "core/fleet/revisionsource.h"
#include "ports/logger.h"

#include <functional>
#include <memory>
#include <optional>

namespace Galenahill {

// A configuration document as written by an operator, decoded.
struct DecodedConfig
{
    Revision revision;
    ConfigDefinitions definitions;
};

using ConfigDecoder = std::function<Result<DecodedConfig>(const std::string &content)>;

// Builds a revision from a document's text. A document that cannot be decoded, or
// whose parts are inconsistent, is rejected as a whole.
Result<std::shared_ptr<const ConfigRevision>> makeRevision(std::string content, const ConfigDecoder &decode);

// Watches the document that holds the whole configuration. Every node reads it
// once at its start. From then on only the watchers, a few members of each data
// centre, read it; the other nodes pull new revisions from members, as deltas.
class ConfigWatcher
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
        // Called with each valid revision read from the store.
        std::function<void(std::shared_ptr<const ConfigRevision>, RevisionSource)> revisionFound;
        // The store responded; the revision is zero if it has no configuration yet.
        std::function<void(Revision)> storeAnswered;
        std::function<void()> storeFailed;
        // The store was read, as it was at that time: as a whole, or the changes that the watch returned.
        std::function<void(ObjectVersion version, TimePoint asOf, bool all)> storeRead;
        // Whether this node is a watcher.
        std::function<bool()> shouldWatch;
        const bool &stopping;
    };

    explicit ConfigWatcher(Options options);
    ~ConfigWatcher();

    void start();

    // Reads the configuration unless the store still has that version, whatever the watch says. Returns the version that was
    // read.
    asio::awaitable<Result<ObjectVersion>> check(ObjectVersion known);

    // Whether the last call of the watch failed, so that the configuration is read again and again.
    bool failing() const;

    // Time since the last response of the store; empty if there was none.
    std::optional<Milliseconds> storeAge(TimePoint now) const;

    // Number of revisions in the store that were rejected since the process started.
    std::uint64_t rejectedRevisions() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
