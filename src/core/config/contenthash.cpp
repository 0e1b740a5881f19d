#include "core/config/contenthash.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace Galenahill {

ContentHash contentHash(std::string_view text)
{
    const auto hash = XXH3_128bits(text.data(), text.size());
    return ContentHash(fmt::format("{:016x}{:016x}", hash.high64, hash.low64));
}

}
