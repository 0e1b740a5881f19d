#pragma once

#include "common/error.h"
#include "common/identifiers.h"

#include <string>
#include <vector>

namespace Galenahill {

// An object read from the platform's store.
struct StoredObject
{
    std::string value;
    ObjectVersion version;
};

// The platform's object API. Calls block up to the adapter's timeout.
//
// Errors: Unavailable if the store was not reached or rejected the call before doing anything,
// OutcomeUnknown if a write was sent and no response arrived, Conflict if the object's version was
// not the expected one.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    // Reads one object; NotFound if it doesn't exist.
    virtual Result<StoredObject> read(const std::string &key) = 0;

    // Writes the object if it still has the expected version (zero: it doesn't exist yet) and
    // returns the new version.
    virtual Result<ObjectVersion> write(const std::string &key, const std::string &value, ObjectVersion expected) = 0;

    // Removes the object if it still has the expected version.
    virtual Result<void> remove(const std::string &key, ObjectVersion expected) = 0;

    // Keys of the objects that begin with the prefix.
    virtual Result<std::vector<std::string>> list(const std::string &prefix) = 0;

    // Waits until the object's version differs from the known one and returns the object; NotFound
    // if nothing changed within the time limit.
    virtual Result<StoredObject> watch(const std::string &key, ObjectVersion known, Milliseconds timeLimit) = 0;
};

}
