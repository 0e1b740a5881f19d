#pragma once

#include "core/config/configbundle.h"
#include "ports/objectstore.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Galenahill {

// An operator's request to change one file.
struct ApplyRequest
{
    ApplyId id;
    FileName file;
    // Ignored when the file is removed.
    std::string text;
    bool remove = false;
    std::string operatorName;
    // Hash of the content that the operator's change is based on. Empty: the change is based on
    // what is in force when the request arrives.
    ContentHash basedOn;
    // The revision in force when the id was generated. A retry is rejected once the changes since
    // then are no longer all kept, because the first attempt may be among the forgotten ones. Unset
    // for a request that is never retried.
    std::optional<Revision> begunAt;
    // Whether the id was used before. The first attempt's write may still be in flight, so a retry
    // that fails proves nothing about it.
    bool isRetry = false;
};

// Result of an accepted apply.
struct ApplyOutcome
{
    Revision revision;
    // False if the file already had this content and no revision was created.
    bool changed = true;
    std::shared_ptr<const ConfigRevision> accepted;
    // Changes that only an outdated store had and that are not in force.
    std::vector<AppliedChange> leftOut;
};

// The configuration in the platform's store: reads whole revisions and accepts changes. Holds no
// state between calls.
class ConfigRepository
{
public:
    struct Options
    {
        ObjectStore &store;
        // The revision that this node has in force, or null.
        std::function<std::shared_ptr<const ConfigRevision>()> inForce;
        // Highest revision that any member is known to have in force.
        std::function<Revision()> highestKnownRevision;
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

    // Reads the files that the manifest lists. Those that `known` has unchanged are copied from it.
    Result<ConfigBundle> readBundle(const Manifest &manifest, const ConfigRevision *known);

    // The configuration that would result from applying this file to the ones in force; errors have
    // the same text as those of `apply`. Changes nothing and contacts no other node.
    Result<std::shared_ptr<const ConfigSnapshot>> check(const ConfigFile &file) const;

    // Accepts the change with one conditional update of the head object.
    //
    // Errors: Invalid with the list of errors; Conflict if someone else has changed the same file
    // meanwhile; Unavailable if nothing was accepted; OutcomeUnknown if the store's response was
    // lost and the state of the head could not be determined. A retry with the same id then
    // determines the outcome.
    Result<ApplyOutcome> apply(const ApplyRequest &request);

    // Writes the revision in force back to a store whose head is strictly older, such as after a
    // restore, and returns whether it did. A head with changes that are not in force is left to the
    // next apply, which merges both histories.
    Result<bool> writeBack();

    // The accepted change of that id; NotFound if it isn't among the last
    // Manifest::MaxChanges.
    Result<AppliedChange> outcome(const ApplyId &id);

    // The files of an earlier revision; NotFound if it isn't kept.
    Result<ConfigBundle> earlier(Revision revision);

private:
    // State that a change is based on.
    struct Base
    {
        Head head;
        // The revision in force, merged with changes that only the store has.
        ConfigBundle bundle;
        std::shared_ptr<const ConfigRevision> current;
        // Whether the store's history differs from the one in force.
        bool diverged = false;
        std::vector<AppliedChange> leftOut;
    };
    Result<Base> readBase();
    Result<Base> mergedBase(Base base);
    Result<std::optional<ApplyOutcome>> attempt(ApplyRequest &request);
    std::optional<Result<ApplyOutcome>> resolveWithoutWrite(const Base &base, const ApplyRequest &request);
    Result<ConfigBundle> changedBundle(const Base &base, const ApplyRequest &request);
    Result<void> writeBlobs(const Base &base, const ConfigBundle &bundle);
    Result<void> writeBlob(const std::string &key, const std::string &text);
    bool isStrictlyOlder(const Manifest &stored, const Manifest &inForce) const;
    Result<bool> writeHead(const Base &base, const ConfigBundle &bundle, const ApplyRequest &request);
    Result<bool> resolveHeadWrite(const Base &base, const std::string &head, const ApplyRequest &request, Error error);

    Options m_options;
};

}
