#pragma once

#include "common/identifiers.h"

#include <string_view>

namespace Galenahill {

// The 128-bit XXH3 hash of a text. Protects against mix-ups and corruption, not against crafted
// collisions: anyone who can write blobs can also write the head.
ContentHash contentHash(std::string_view text);

}
