#include "core/config/historymerge.h"

#include <algorithm>

namespace Galenahill {

namespace {

// Changes of `line` that `other` doesn't have. What is older than the changes
// that `other` keeps was forgotten there, not missing.
std::vector<AppliedChange> missingIn(const Manifest &other, const Manifest &line)
{
    std::vector<AppliedChange> missing;
    for (const auto &change : line.changes) {
        if (!other.forgets(change.revision) && !other.change(change.id)) {
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

void take(Manifest &manifest, const Manifest &stored, const AppliedChange &change)
{
    auto taken = change;
    taken.revision = Revision(manifest.revision.value() + 1);
    taken.previous = hashIn(manifest, change.file);
    const auto hash = hashIn(stored, change.file);
    if (hash == ContentHash()) {
        manifest.files.erase(change.file);
    } else {
        manifest.files[change.file] = hash;
    }
    manifest.record(taken);
}

}

bool lacksChanges(const Manifest &manifest, const Manifest &other)
{
    return !missingIn(manifest, other).empty();
}

MergedHistory mergeHistories(const Manifest &inForce, const Manifest &stored)
{
    MergedHistory merged{inForce, {}, {}};
    const auto own = missingIn(stored, inForce);
    for (const auto &change : missingIn(inForce, stored)) {
        const bool bothChanged = std::any_of(own.begin(), own.end(), [&](const auto &other) { return other.file == change.file; });
        if (bothChanged) {
            merged.leftOut.push_back(change);
        } else {
            take(merged.manifest, stored, change);
            merged.taken.push_back(change);
        }
    }
    return merged;
}

}
