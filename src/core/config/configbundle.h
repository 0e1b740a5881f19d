#pragma once

#include "core/config/configsnapshot.h"
#include "core/config/manifest.h"

#include <memory>
#include <vector>

namespace Galenahill {

// A complete revision as it is transferred between nodes: the manifest and the files that it lists,
// in the manifest's order.
struct ConfigBundle
{
    Manifest manifest;
    std::vector<ConfigFile> files;

    // Checks that the files match the manifest in names and hashes.
    Result<void> verify() const;

    // The text of a file, or null.
    const ConfigFile *file(const FileName &name) const;

    friend bool operator==(const ConfigBundle &, const ConfigBundle &) = default;
};

template <typename Inspector>
auto inspect(Inspector &inspector, ConfigBundle &bundle)
{
    return inspector(bundle.manifest, bundle.files);
}

// A verified bundle with its parsed configuration. Shared, immutable.
struct ConfigRevision
{
    ConfigBundle bundle;
    std::shared_ptr<const ConfigSnapshot> snapshot;
    // Hash of the head object's JSON; distinguishes two revisions with the same number.
    ContentHash digest;

    Revision revision() const;

    // Verifies and validates the bundle; a bundle that fails is never served in part.
    static Result<std::shared_ptr<const ConfigRevision>> fromBundle(ConfigBundle bundle);
};

}
