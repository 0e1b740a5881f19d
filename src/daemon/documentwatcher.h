#pragma once

#include "adapters/platform/documentstore.h"
#include "ports/logger.h"

#include <functional>
#include <memory>
#include <optional>

namespace Galenahill {

// Follows the documents of one kind: lists them, and watches for changes while this
// node has that role. What a broken watch missed is in the next list.
class DocumentWatcher
{
public:
    struct Options
    {
        asio::io_context &context;
        DocumentStore &store;
        std::string kind;
        std::uint64_t seed = 1;
        Logger log;
        // How the kind is listed once at the start, by any node; nothing: only a
        // watcher lists it.
        std::optional<Freshness> firstList;
        // Whether this node watches.
        std::function<bool()> watches;
        // Documents came: all of the kind, or those that changed. Says whether to
        // pause before the next watch, so that one call brings several changes.
        std::function<bool(DocumentSet documents, bool all)> received;
        // A call failed; the next one lists. May be null.
        std::function<void()> failed;
        const bool &stopping;
    };

    explicit DocumentWatcher(Options options);
    ~DocumentWatcher();

    void start();

private:
    class Private;
    std::shared_ptr<Private> d;
};

}
