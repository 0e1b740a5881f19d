#pragma once

#include "core/config/manifest.h"

#include <vector>

namespace Galenahill {

// Result of merging two histories.
struct MergedHistory
{
    // The manifest in force with the changes that only the store has. Keeps the revision number in
    // force; the adopted changes carry the next number, which is the first revision to have them in
    // force.
    Manifest manifest;
    std::vector<AppliedChange> adopted;
    // Changes that only the store has and that were left out because the same file was also changed
    // in force.
    std::vector<AppliedChange> leftOut;
};

// Whether the manifest lacks changes that the other one has, apart from those that it has forgotten
// because of their age.
bool lacksChanges(const Manifest &manifest, const Manifest &other);

// Merges the manifest in force with the store's, after the store was restored from a backup and an
// apply was accepted on the restored state. The operators' changes of both histories were reported
// as accepted, so neither may be dropped silently.
MergedHistory mergeHistories(const Manifest &inForce, const Manifest &stored);

}
