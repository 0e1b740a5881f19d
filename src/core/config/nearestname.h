#pragma once

#include <string>
#include <vector>

namespace Galenahill {

// The candidate that a misspelt word most likely stands for; empty if none is close.
std::string nearestName(const std::string &word, const std::vector<std::string> &candidates);

// The text "; did you mean "x"?" for the nearest candidate; empty if none is close.
std::string suggestion(const std::string &word, const std::vector<std::string> &candidates);

}
