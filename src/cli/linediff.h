#pragma once

#include <string>

namespace Galenahill {

// Returns the lines that differ between two texts, with three lines of context around each change.
// Common lines begin with ' ', lines of the old text only with '-', lines of the new text only with
// '+'. Empty if the texts are equal.
std::string lineDiff(const std::string &oldText, const std::string &newText);

}
