#include "core/config/configbundle.h"

#include "core/config/contenthash.h"

#include <algorithm>
#include <fmt/format.h>

namespace Galenahill {

Result<void> ConfigBundle::verify() const
{
    if (files.size() != manifest.files.size()) {
        return failure(ErrorKind::Corrupt,
            fmt::format(
                "revision {}: received {} files, but the manifest lists {}; fetch it again", manifest.revision.value(), files.size(), manifest.files.size()));
    }
    auto expected = manifest.files.begin();
    for (const auto &file : files) {
        if (expected->first != file.name || expected->second != contentHash(file.text)) {
            return failure(
                ErrorKind::Corrupt, fmt::format("revision {}: {} doesn't match the manifest; fetch it again", manifest.revision.value(), file.name.value()));
        }
        ++expected;
    }
    return {};
}

const ConfigFile *ConfigBundle::file(const FileName &name) const
{
    const auto found = std::find_if(files.begin(), files.end(), [&](const auto &file) { return file.name == name; });
    return found == files.end() ? nullptr : &*found;
}

Revision ConfigRevision::revision() const
{
    return bundle.manifest.revision;
}

Result<std::shared_ptr<const ConfigRevision>> ConfigRevision::fromBundle(ConfigBundle bundle)
{
    if (const auto verified = bundle.verify(); !verified) {
        return tl::unexpected(verified.error());
    }
    auto snapshot = ConfigSnapshot::validate(bundle.files);
    if (!snapshot) {
        return tl::unexpected(snapshot.error());
    }
    auto revision = std::make_shared<ConfigRevision>();
    revision->digest = contentHash(bundle.manifest.toJson());
    revision->bundle = std::move(bundle);
    revision->snapshot = std::move(*snapshot);
    return std::shared_ptr<const ConfigRevision>(revision);
}

}
