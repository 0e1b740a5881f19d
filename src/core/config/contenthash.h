#pragma once

#include "common/identifiers.h"

#include <string_view>

namespace Galenahill {

// The 128-bit XXH3 hash of a text. Guards against mix-ups and damage, not
// against somebody who crafts collisions: who can write blobs can write head.
ContentHash contentHash(std::string_view text);

}
