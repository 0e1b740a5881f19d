#pragma once

#include "adapters/http/httpclient.h"
#include "adapters/platform/documentstore.h"
#include "ports/objectstore.h"

#include <atomic>
#include <functional>
#include <memory>

namespace Galenahill {

// Maps objects with keys to documents with kinds and names, for threads that may block. The last
// part of a key becomes the name, the parts before it the kind. A value is any text; the document
// contains it as a JSON string. Usable from several threads: each call has its own I/O context and
// connection.
class DocumentObjectStore : public ObjectStore
{
public:
    using StoreFactory = std::function<std::unique_ptr<DocumentStore>(HttpClient &client)>;

    explicit DocumentObjectStore(StoreFactory open);
    ~DocumentObjectStore() override;

    Result<StoredObject> read(const std::string &key) override;
    Result<ObjectVersion> write(const std::string &key, const std::string &value, ObjectVersion expected) override;
    Result<void> remove(const std::string &key, ObjectVersion expected) override;
    Result<std::vector<std::string>> list(const std::string &prefix) override;
    Result<StoredObject> watch(const std::string &key, ObjectVersion known, Milliseconds timeLimit) override;

    // Ends pending calls and rejects further ones.
    void stop();

    // Number of calls made, including watches.
    std::uint64_t calls() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
