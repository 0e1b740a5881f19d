#pragma once

#include "ports/objectstore.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Galenahill {

// The platform's object API in memory, with injected faults.
class FakeObjectStore : public ObjectStore
{
public:
    std::map<std::string, StoredObject> objects;
    std::uint64_t lastVersion = 0;
    std::size_t calls = 0;

    // Called before each operation; an error returned here is the result, and the operation isn't
    // executed.
    std::function<std::optional<Error>(const std::string &operation, const std::string &key)> before;

    // Called after each write that took effect; an error returned here replaces the result.
    std::function<std::optional<Error>(const std::string &key)> afterWrite;

    // Called before each write; true delays it: the response is lost immediately, and the write
    // takes effect when applyDelayedWrites is called.
    std::function<bool(const std::string &key)> delays;

    // Executes the delayed writes in the order sent, if the versions that they expect still match.
    void applyDelayedWrites()
    {
        for (const auto &[key, value, expected] : std::exchange(m_delayed, {})) {
            const auto found = objects.find(key);
            if ((found == objects.end() ? ObjectVersion() : found->second.version) == expected) {
                objects[key] = {value, ObjectVersion(++lastVersion)};
            }
        }
    }

    Result<StoredObject> read(const std::string &key) override
    {
        if (const auto error = injectedError("read", key)) {
            return tl::unexpected(*error);
        }
        const auto found = objects.find(key);
        return found == objects.end() ? Result<StoredObject>(failure(ErrorKind::NotFound, key)) : found->second;
    }

    Result<ObjectVersion> write(const std::string &key, const std::string &value, ObjectVersion expected) override
    {
        if (const auto error = injectedError("write", key)) {
            return tl::unexpected(*error);
        }
        if (delays && delays(key)) {
            m_delayed.push_back({key, value, expected});
            return failure(ErrorKind::OutcomeUnknown, "lost");
        }
        const auto found = objects.find(key);
        const auto present = found == objects.end() ? ObjectVersion() : found->second.version;
        if (present != expected) {
            return failure(ErrorKind::Conflict, key);
        }
        objects[key] = {value, ObjectVersion(++lastVersion)};
        if (afterWrite) {
            if (const auto error = afterWrite(key)) {
                return tl::unexpected(*error);
            }
        }
        return ObjectVersion(lastVersion);
    }

    Result<void> remove(const std::string &key, ObjectVersion expected) override
    {
        if (const auto error = injectedError("remove", key)) {
            return tl::unexpected(*error);
        }
        const auto found = objects.find(key);
        if (found == objects.end() || found->second.version != expected) {
            return failure(ErrorKind::Conflict, key);
        }
        objects.erase(found);
        return {};
    }

    Result<std::vector<std::string>> list(const std::string &prefix) override
    {
        if (const auto error = injectedError("list", prefix)) {
            return tl::unexpected(*error);
        }
        std::vector<std::string> keys;
        for (const auto &[key, object] : objects) {
            if (key.rfind(prefix, 0) == 0) {
                keys.push_back(key);
            }
        }
        return keys;
    }

    Result<StoredObject> watch(const std::string &key, ObjectVersion known, Milliseconds /*timeLimit*/) override
    {
        auto object = read(key);
        const bool changed = object && object->version != known;
        return changed ? object : failure(ErrorKind::NotFound, key);
    }

private:
    struct DelayedWrite
    {
        std::string key;
        std::string value;
        ObjectVersion expected;
    };
    std::vector<DelayedWrite> m_delayed;

    std::optional<Error> injectedError(const std::string &operation, const std::string &key)
    {
        ++calls;
        return before ? before(operation, key) : std::nullopt;
    }
};

}
