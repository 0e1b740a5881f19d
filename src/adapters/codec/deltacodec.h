#pragma once

#include "common/error.h"

#include <string>

namespace Galenahill {

// Compresses the text with zstd against a base that the receiver has; an empty base gives plain
// compression.
std::string compressDelta(const std::string &text, const std::string &base);

// Restores the text; Corrupt if the delta is damaged, was made against another base, or declares a
// size above 64 MB.
Result<std::string> expandDelta(const std::string &delta, const std::string &base);

}
