#pragma once

#include "core/config/configsnapshot.h"
#include "core/config/manifest.h"

#include <memory>
#include <vector>

namespace Galenahill {

// A whole revision as it travels between nodes: the manifest and the texts
// that it names, in the manifest's order.
struct ConfigBundle
{
    Manifest manifest;
    std::vector<ConfigFile> files;

    // Checks that files and manifest agree name by name and hash by hash.
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

// A verified bundle with its meaning. Shared, immutable.
struct ConfigRevision
{
    ConfigBundle bundle;
    std::shared_ptr<const ConfigSnapshot> snapshot;
    // Hash of the head object's JSON; tells two revisions with one number
    // apart.
    ContentHash digest;

    Revision revision() const;

    // Verifies and validates; a bundle that fails is never served in part.
    static Result<std::shared_ptr<const ConfigRevision>> fromBundle(ConfigBundle bundle);
};

}
