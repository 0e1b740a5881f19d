#include "core/config/historymerge.h"

#include <algorithm>

namespace Galenahill {

namespace {

// Changes of `history` that `other` doesn't have. Changes older than those that `other` keeps may
// have been dropped from it, so they don't count as missing.
std::vector<AppliedChange> missingIn(const Manifest &other, const Manifest &history)
{
    std::vector<AppliedChange> missing;
    for (const auto &change : history.changes) {
        if (!other.mayLackChangesAfter(change.revision) && !other.change(change.id)) {
            missing.push_back(change);
        }
    }
    return missing;
}

ContentHash hashIn(const Manifest &manifest, const FileName &file)
{
    const auto found = manifest.files.find(file);
    return found == manifest.files.end() ? ContentHash() : found->second;
}

void adopt(Manifest &manifest, const Manifest &stored, const AppliedChange &change)
{
    auto adopted = change;
    adopted.revision = Revision(manifest.revision.value() + 1);
    adopted.previous = hashIn(manifest, change.file);
    const auto hash = hashIn(stored, change.file);
    if (hash == ContentHash()) {
        manifest.files.erase(change.file);
    } else {
        manifest.files[change.file] = hash;
    }
    manifest.record(adopted);
}

}

bool lacksChanges(const Manifest &manifest, const Manifest &other)
{
    return !missingIn(manifest, other).empty();
}

MergedHistory mergeHistories(const Manifest &inForce, const Manifest &stored)
{
    MergedHistory merged{inForce, {}, {}};
    const auto missingInStore = missingIn(stored, inForce);
    for (const auto &change : missingIn(inForce, stored)) {
        const bool bothChanged = std::any_of(missingInStore.begin(), missingInStore.end(), [&](const auto &other) { return other.file == change.file; });
        if (bothChanged) {
            merged.leftOut.push_back(change);
        } else {
            adopt(merged.manifest, stored, change);
            merged.adopted.push_back(change);
        }
    }
    return merged;
}

}
