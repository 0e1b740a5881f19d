#pragma once

#include "common/error.h"
#include "common/identifiers.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Galenahill {

// One accepted change.
struct AppliedChange
{
    ApplyId id;
    Revision revision;
    FileName file;
    std::string operatorName;
    // Seconds since the epoch by the accepting node's clock; for display only.
    std::int64_t time = 0;
    bool removed = false;
    // Hash of the file's previous content; empty if the file didn't exist. Allows an earlier
    // revision to be reconstructed from a later one.
    ContentHash previous;

    friend bool operator==(const AppliedChange &, const AppliedChange &) = default;
};

template <typename Inspector>
auto inspect(Inspector &inspector, AppliedChange &change)
{
    return inspector(change.id, change.revision, change.file, change.operatorName, change.time, change.removed, change.previous);
}

// The content hash of each file in one revision, with the latest changes that led to it. The
// store's head object holds its JSON form.
struct Manifest
{
    // Number of changes kept; the outcome of older ones can no longer be looked up by apply id.
    static constexpr std::size_t MaxChanges = 64;

    Revision revision;
    std::map<FileName, ContentHash> files;
    std::vector<AppliedChange> changes;

    // The change with that id, if it is among the ones kept.
    std::optional<AppliedChange> change(const ApplyId &id) const;

    // The latest change of that file, if it is among the ones kept.
    std::optional<AppliedChange> lastChange(const FileName &file) const;

    // Whether changes later than that revision may be missing from the ones kept.
    bool mayLackChangesAfter(Revision revision) const;

    void record(AppliedChange change);

    // The manifest of an earlier revision; NotFound if the changes since aren't all kept, or if the
    // revision never existed.
    Result<Manifest> at(Revision earlier) const;

    // Hashes of the replaced file texts from which `at` can still restore earlier revisions.
    std::vector<ContentHash> retained() const;

    std::string toJson() const;
    static Result<Manifest> fromJson(const std::string &json);

    friend bool operator==(const Manifest &, const Manifest &) = default;
};

template <typename Inspector>
auto inspect(Inspector &inspector, Manifest &manifest)
{
    return inspector(manifest.revision, manifest.files, manifest.changes);
}

}
