#pragma once

#include "core/configbundle.h"
#include "ports/objectstore.h"

#include <functional>
#include <memory>
#include <string>

namespace Galenahill {

// An operator's wish to change one file.
struct ApplyRequest
{
    ApplyId id;
    FileName file;
    // Ignored when the file is removed.
    std::string text;
    bool remove = false;
    std::string operatorName;
    // Hash of the content that the operator started from. Empty: whatever is
    // in force when the request arrives.
    ContentHash basedOn;
};

// What an accepted apply gives back.
struct ApplyOutcome
{
    Revision revision;
    // False if the file already had this content and no revision was made.
    bool changed = true;
    std::shared_ptr<const ConfigRevision> accepted;
};

// The configuration as kept in the platform's store: reading whole revisions
// and accepting changes. Holds no state between calls.
class ConfigRepository
{
public:
    struct Options
    {
        ObjectStore &store;
        // The revision that this node has in force, or null.
        std::function<std::shared_ptr<const ConfigRevision>()> inForce;
        // Highest revision that any member is known to have in force.
        std::function<Revision()> highestKnown;
        // Seconds since the epoch, for the history only.
        std::function<std::int64_t()> now;
    };

    explicit ConfigRepository(Options options);

    // Reads the head object. The version is zero and the manifest empty if
    // nothing was ever accepted.
    struct Head
    {
        Manifest manifest;
        ObjectVersion version;
    };
    Result<Head> readHead();

    // Reads the texts that the manifest names, taking what `known` already
    // has from there.
    Result<ConfigBundle> readBundle(const Manifest &manifest, const ConfigRevision *known);

    // Accepts the change with one conditional update of the head object.
    //
    // Errors: Invalid with the faults, Conflict if the same file was changed
    // by someone else meanwhile, Unavailable if nothing was accepted,
    // OutcomeUnknown if the store's answer was lost and the head could not be
    // read again; `outcome` settles that later.
    Result<ApplyOutcome> apply(const ApplyRequest &request);

    // The accepted change of that id; NotFound if it isn't among the last
    // Manifest::MaxChanges.
    Result<AppliedChange> outcome(const ApplyId &id);

private:
    struct Base
    {
        Head head;
        std::shared_ptr<const ConfigRevision> current;
    };
    Result<Base> readBase();
    Result<ConfigBundle> changedBundle(const Base &base, const ApplyRequest &request);
    Result<void> writeBlobs(const Base &base, const ConfigBundle &bundle);
    Result<ApplyOutcome> settle(const ApplyRequest &request, const Error &error);

    Options m_options;
};

}
