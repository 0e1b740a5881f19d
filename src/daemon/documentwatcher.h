#pragma once

#include "adapters/platform/documentstore.h"
#include "ports/logger.h"

#include <functional>
#include <memory>
#include <optional>

namespace Galenahill {

// Logs the documents that can't be read.
void logUnreadable(const Logger &log, const std::string &kind, const DocumentSet &documents);

// Tracks the documents of one kind: lists them, and watches for changes while this
// node is a watcher. Changes that a broken watch missed are in the next list.
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
        // Freshness of the list that any node reads once at its start. Unset: only
        // watchers read a list.
        std::optional<Freshness> firstList;
        // Whether this node is a watcher.
        std::function<bool()> shouldWatch;
        // Called with all documents of the kind, or with those that changed. Returns
        // whether to pause before the next watch, so that one call returns several changes.
        std::function<bool(DocumentSet documents, bool all)> received;
        // Interval at which a watcher lists the documents beside its watch, since one that returns nothing may have stalled.
        // Null: never.
        std::function<Milliseconds()> checkInterval;
        // All documents of the kind were read, as they were at that time, or the changes that a watch returned. May be null.
        std::function<void(ObjectVersion version, TimePoint asOf, bool all)> read;
        // A call to the store failed; the next one reads a list. May be null.
        std::function<void()> failed;
        const bool &stopping;
    };

    explicit DocumentWatcher(Options options);
    ~DocumentWatcher();

    void start();

    // Continues from that version, up to which all changes are known, if a watch waits for changes since an earlier one.
    // Returns whether one did.
    bool resumeFrom(ObjectVersion version);

    // Whether the last call to the store failed, so that the next one is made after a back-off.
    bool failing() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

}
