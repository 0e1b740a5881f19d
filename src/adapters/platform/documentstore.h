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
// have been done or may still be.
class DocumentStore
{
public:
    virtual ~DocumentStore() = default;

    // All documents of the kind.
    virtual asio::awaitable<Result<DocumentSet>> list(std::string kind) = 0;

    // Waits for changes of the kind's documents after that version; an empty
    // set if there were none in time. NotFound if the store no longer knows
    // the changes: list the kind again.
    virtual asio::awaitable<Result<DocumentSet>> watch(std::string kind, ObjectVersion after, Milliseconds timeLimit) = 0;

    // Creates the document or replaces its content.
    virtual asio::awaitable<Result<void>> put(std::string kind, std::string name, std::string content) = 0;

    virtual asio::awaitable<Result<void>> remove(std::string kind, std::string name) = 0;

    // Calls made so far.
    virtual std::uint64_t calls() const = 0;
};

}
