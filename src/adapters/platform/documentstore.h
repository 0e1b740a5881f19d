#pragma once

#include "adapters/http/asio.h"
#include "adapters/http/cancellation.h"
#include "common/error.h"
#include "common/identifiers.h"

#include <string>
#include <vector>

namespace Galenahill {

// One document of the platform's store, either its state or one change of it.
struct StoredDocument
{
    std::string name;
    // JSON text.
    std::string content;
    bool removed = false;
    // The store's version at its last change.
    ObjectVersion version;
    // JSON text that the project stores beside the content; empty: none.
    std::string status;
    // The store's version at its creation.
    ObjectVersion created;
};

// Whether a response may be some seconds out of date, which costs the store less.
enum class Freshness {
    Latest,
    MayBeStale,
};

// All documents of a kind at one version of the store, or the changes up to that version.
struct DocumentSet
{
    std::vector<StoredDocument> documents;
    // The store's version, from which a watch can continue.
    ObjectVersion version;
    // Names of the documents that can't be read, or an empty text where the name can't be read either.
    std::vector<std::string> unreadable;
};

// The platform's store of documents with kinds and names. Waits without blocking the thread.
//
// Errors: Unavailable if the call wasn't executed, OutcomeUnknown if a write may have been executed
// or may still be, Conflict if the document doesn't have the expected version.
class DocumentStore
{
public:
    virtual ~DocumentStore() = default;

    // All documents of the kind.
    virtual asio::awaitable<Result<DocumentSet>> list(std::string kind, Freshness freshness = Freshness::Latest) = 0;

    // Waits for changes of the kind's documents after that version; the set is empty if there were
    // none within the time limit. NotFound if the store no longer has the changes; the kind must
    // then be listed again.
    virtual asio::awaitable<Result<DocumentSet>> watch(std::string kind, ObjectVersion after, Milliseconds timeLimit, Cancellation *cancellation = nullptr) = 0;

    // The store's version. Cheaper than a list, as long as the kind has no documents whose names follow the given one.
    virtual asio::awaitable<Result<ObjectVersion>> version(std::string kind, std::string lastName) = 0;

    // One document; NotFound if there is none.
    virtual asio::awaitable<Result<StoredDocument>> read(std::string kind, std::string name) = 0;

    // Replaces the content if the document still has the expected version, or creates the document if
    // that is zero; returns the new version.
    virtual asio::awaitable<Result<ObjectVersion>> write(std::string kind, std::string name, std::string content, ObjectVersion expected) = 0;

    // Creates the document or replaces its content.
    virtual asio::awaitable<Result<void>> put(std::string kind, std::string name, std::string content) = 0;

    // Replaces the status beside the content if the document still has the expected version; returns
    // the new version.
    virtual asio::awaitable<Result<ObjectVersion>> writeStatus(std::string kind, std::string name, std::string status, ObjectVersion expected) = 0;

    // Removes the document if it still has the expected version; zero removes any version.
    virtual asio::awaitable<Result<void>> remove(std::string kind, std::string name, ObjectVersion expected = ObjectVersion()) = 0;

    // Number of calls made.
    virtual std::uint64_t calls() const = 0;
};

}
