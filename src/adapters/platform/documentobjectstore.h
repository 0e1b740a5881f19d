#pragma once

#include "adapters/http/httpclient.h"
#include "adapters/platform/documentstore.h"
#include "ports/objectstore.h"

#include <atomic>
#include <functional>
#include <memory>

namespace Galenahill {

// Objects by key in a store of documents by kind and name, for threads that may
// block. The last part of a key is the name, what stands before it the kind. A
// value is any text; its document holds it as one JSON string. Usable from several
// threads: each call has an I/O context and a connection of its own.
class DocumentObjectStore : public ObjectStore
{
public:
    using Open = std::function<std::unique_ptr<DocumentStore>(HttpClient &client)>;

    explicit DocumentObjectStore(Open open);
    ~DocumentObjectStore() override;

    Result<StoredObject> read(const std::string &key) override;
    Result<ObjectVersion> write(const std::string &key, const std::string &value, ObjectVersion expected) override;
    Result<void> remove(const std::string &key, ObjectVersion expected) override;
    Result<std::vector<std::string>> list(const std::string &prefix) override;
    Result<StoredObject> watch(const std::string &key, ObjectVersion known, Milliseconds timeLimit) override;

    // Ends waiting calls and refuses further ones.
    void stop();

    // Calls made, watches included.
    std::uint64_t calls() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
