#pragma once

#include "core/config/configbundle.h"
#include "ports/objectstore.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

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
    // The revision in force when the id was made. A repeat is refused once
    // the changes since then are no longer all kept, for the first run may be
    // among the forgotten ones. Unset for a request that is never repeated.
    std::optional<Revision> begunAt;
    // Whether the id was used before. The first run's write may still be on
    // its way, so a repeat that achieves nothing proves nothing about it.
    bool repeated = false;
};

// What an accepted apply gives back.
struct ApplyOutcome
{
    Revision revision;
    // False if the file already had this content and no revision was made.
    bool changed = true;
    std::shared_ptr<const ConfigRevision> accepted;
    // Changes that only an outdated store held and that are not in force.
    std::vector<AppliedChange> leftOut;
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

    // Whether the store lacks accepted changes, such as after it was restored
    // from a backup.
    bool storeIsBehind(const Manifest &stored) const;

    // Reads the texts that the manifest names, taking what `known` already
    // has from there.
    Result<ConfigBundle> readBundle(const Manifest &manifest, const ConfigRevision *known);

    // What the files in force would mean with this one in its place; refused
    // in the very words of `apply`. Changes nothing and asks nobody.
    Result<std::shared_ptr<const ConfigSnapshot>> check(const ConfigFile &file) const;

    // Accepts the change with one conditional update of the head object.
    //
    // Errors: Invalid with the faults, Conflict if the same file was changed
    // by someone else meanwhile, Unavailable if nothing was accepted,
    // OutcomeUnknown if the store's answer was lost and the head could not be
    // settled; a repeat with the same id settles it.
    Result<ApplyOutcome> apply(const ApplyRequest &request);

    // Writes the revision in force back to a store whose head is merely older,
    // such as after a restore, and gives whether it did. A head that has
    // changes of its own is left to the next apply, which joins both.
    Result<bool> writeBack();

    // The accepted change of that id; NotFound if it isn't among the last
    // Manifest::MaxChanges.
    Result<AppliedChange> outcome(const ApplyId &id);

    // The files of an earlier revision; NotFound if it isn't kept.
    Result<ConfigBundle> earlier(Revision revision);

private:
    // What a change builds on.
    struct Base
    {
        Head head;
        // What is in force, joined with what only the store has.
        ConfigBundle bundle;
        std::shared_ptr<const ConfigRevision> current;
        // Whether the store's line of history differs from the one in force.
        bool diverged = false;
        std::vector<AppliedChange> leftOut;
    };
    Result<Base> readBase();
    Result<Base> joinedBase(Base base);
    Result<std::optional<ApplyOutcome>> attempt(ApplyRequest &request);
    std::optional<Result<ApplyOutcome>> withoutWriting(const Base &base, const ApplyRequest &request);
    Result<ConfigBundle> changedBundle(const Base &base, const ApplyRequest &request);
    Result<void> writeBlobs(const Base &base, const ConfigBundle &bundle);
    Result<void> writeBlob(const std::string &key, const std::string &text);
    bool isMerelyOlder(const Manifest &stored, const Manifest &inForce) const;
    Result<bool> writeHead(const Base &base, const ConfigBundle &bundle, const ApplyRequest &request);
    Result<bool> settle(const Base &base, const std::string &head, const ApplyRequest &request, Error error);

    Options m_options;
};

}
