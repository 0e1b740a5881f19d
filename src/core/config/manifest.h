#pragma once

#include "common/error.h"
#include "common/identifiers.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Galenahill {

// One apply that was accepted.
struct AppliedChange
{
    ApplyId id;
    Revision revision;
    FileName file;
    std::string operatorName;
    // Seconds since the epoch by the accepting node's clock; for people only.
    std::int64_t time = 0;
    bool removed = false;
    // Content that the file had before; empty if there was no such file. Lets
    // an earlier revision be worked out from a later one.
    ContentHash previous;

    friend bool operator==(const AppliedChange &, const AppliedChange &) = default;
};

template <typename Inspector>
auto inspect(Inspector &inspector, AppliedChange &change)
{
    return inspector(change.id, change.revision, change.file, change.operatorName, change.time, change.removed, change.previous);
}

// Which content each file has in one revision, with the last changes that led
// there. The store's head object holds its JSON form.
struct Manifest
{
    // Changes kept; older ones can no longer be settled by their apply id.
    static constexpr std::size_t MaxChanges = 64;

    Revision revision;
    std::map<FileName, ContentHash> files;
    std::vector<AppliedChange> changes;

    // The change of that id, if it is among the ones kept.
    std::optional<AppliedChange> change(const ApplyId &id) const;

    // The last change of that file, if it is among the ones kept.
    std::optional<AppliedChange> lastChange(const FileName &file) const;

    // Whether changes above that revision may be missing from the ones kept.
    bool forgets(Revision revision) const;

    void record(AppliedChange change);

    // The files as they were in an earlier revision; NotFound if the changes
    // since aren't all kept, or if it never was.
    Result<Manifest> at(Revision earlier) const;

    // Contents of earlier revisions that `at` can still give, as far as the
    // present one doesn't have them.
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
