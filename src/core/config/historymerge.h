#pragma once

#include "core/config/manifest.h"

#include <vector>

namespace Galenahill {

// What two lines of history give together.
struct MergedHistory
{
    // The manifest in force with the changes that only the store has. Keeps
    // the revision number in force; the taken changes carry the next one,
    // which is the first to have them in force.
    Manifest manifest;
    std::vector<AppliedChange> taken;
    // Changes that only the store has and that were left out, since the same
    // file was changed in force too.
    std::vector<AppliedChange> leftOut;
};

// Whether the manifest lacks changes that another one has, apart from those
// that it forgot by age.
bool lacksChanges(const Manifest &manifest, const Manifest &other);

// Joins the manifest in force with the store's, after the store was restored
// from a backup and an apply was accepted on what it then held. Both lines
// were told to operators as accepted, so neither may be dropped silently.
MergedHistory mergeHistories(const Manifest &inForce, const Manifest &stored);

}
