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

    friend bool operator==(const AppliedChange &, const AppliedChange &) = default;
};

template <typename Inspector>
auto inspect(Inspector &inspector, AppliedChange &change)
{
    return inspector(change.id, change.revision, change.file, change.operatorName, change.time, change.removed);
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

    void record(AppliedChange change);

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
