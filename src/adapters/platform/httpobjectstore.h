#pragma once

#include "common/endpoint.h"
#include "ports/objectstore.h"

#include <atomic>
#include <memory>

namespace Galenahill {

// The platform's object API over HTTP. Usable from several threads.
class HttpObjectStore : public ObjectStore
{
public:
    struct Options
    {
        Endpoint endpoint;
        // Limit of one call other than a watch.
        Milliseconds callTimeout{3000};
    };

    explicit HttpObjectStore(Options options);
    ~HttpObjectStore() override;

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
