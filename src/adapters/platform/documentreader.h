#pragma once

#include "adapters/platform/documentstore.h"

#include <memory>
#include <optional>
#include <string>

namespace Galenahill {

// Names of the fields in which a store returns documents.
struct DocumentFieldNames
{
    // A document, and the fields of its metadata. Both versions are the store's.
    std::string metadata;
    std::string name;
    std::string version;
    std::string createdVersion;
    std::string content;
    std::string status;
    // A page of a list, a watch's changes, and the store's current version in both.
    std::string items;
    std::string hasMore;
    std::string changes;
    std::string changed;
    std::string removed;
    std::string storeVersion;
};

// Reads documents from the store's responses, which are JSON. Errors: OutcomeUnknown if a response is malformed.
class DocumentReader
{
public:
    explicit DocumentReader(DocumentFieldNames names);
    ~DocumentReader();

    // Adds the documents of a page of a list. Returns the name that the next page follows, or an empty text after the last page.
    Result<std::string> addPage(DocumentSet &set, const std::string &text) const;

    // The changes that a watch returned.
    Result<DocumentSet> changes(const std::string &text) const;

    Result<StoredDocument> document(const std::string &text) const;

    // The store's version in the page of a list.
    Result<ObjectVersion> storeVersion(const std::string &text) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
