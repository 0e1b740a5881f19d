#pragma once

#include "adapters/http/asio.h"
#include "common/error.h"
#include "common/identifiers.h"

#include <string>
#include <vector>

namespace Galenahill {

// One document of the platform's store, as read or as a change of it.
struct StoredDocument
{
    std::string name;
    // JSON text that its writer put in.
    std::string content;
    bool removed = false;
    // The store's version at its last change.
    ObjectVersion version;
    // JSON text that the product put beside the content; empty: none.
    std::string status;
    // The store's version at its creation.
    ObjectVersion created;
};

// Whether an answer may be some seconds old, which costs the store less.
enum class Freshness {
    Latest,
    MayBeStale,
};

// Documents of one kind at one moment, or those that changed up to it.
struct DocumentSet
{
    std::vector<StoredDocument> documents;
    // The store's version at that moment, from which a watch goes on.
    ObjectVersion version;
};

// The platform's store seen as documents by kind and name. Waits without
// blocking the thread.
//
// Errors: Unavailable if the call wasn't done, OutcomeUnknown if a write may
// have been done or may still be, Conflict if the document isn't at the expected
// version.
class DocumentStore
{
public:
    virtual ~DocumentStore() = default;

    // All documents of the kind.
    virtual asio::awaitable<Result<DocumentSet>> list(std::string kind, Freshness freshness = Freshness::Latest) = 0;

    // Waits for changes of the kind's documents after that version; an empty
    // set if there were none in time. NotFound if the store no longer knows
    // the changes: list the kind again.
    virtual asio::awaitable<Result<DocumentSet>> watch(std::string kind, ObjectVersion after, Milliseconds timeLimit) = 0;

    // One document; NotFound if there is none.
    virtual asio::awaitable<Result<StoredDocument>> read(std::string kind, std::string name) = 0;

    // Replaces the content if the document still has the expected version, or
    // creates it if that is zero; gives the new version.
    virtual asio::awaitable<Result<ObjectVersion>> write(std::string kind, std::string name, std::string content, ObjectVersion expected) = 0;

    // Creates the document or replaces its content.
    virtual asio::awaitable<Result<void>> put(std::string kind, std::string name, std::string content) = 0;

    // Replaces the status beside the content if the document still has the expected
    // version; gives the new one.
    virtual asio::awaitable<Result<ObjectVersion>> writeStatus(std::string kind, std::string name, std::string status, ObjectVersion expected) = 0;

    // Removes the document, if it still has the expected version; zero: whatever
    // it has.
    virtual asio::awaitable<Result<void>> remove(std::string kind, std::string name, ObjectVersion expected = ObjectVersion()) = 0;

    // Calls made so far.
    virtual std::uint64_t calls() const = 0;
};

}
