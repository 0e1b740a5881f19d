#pragma once

#include <string>

namespace Galenahill {

// The lines that differ between two texts, with three lines around each
// change: ' ' before common lines, '-' before lines of the old text only, '+'
// before lines of the new one only. Empty if the texts are equal.
std::string lineDiff(const std::string &oldText, const std::string &newText);

}
