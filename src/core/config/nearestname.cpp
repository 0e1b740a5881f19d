#include "core/config/nearestname.h"

#include <algorithm>
#include <numeric>

namespace Galenahill {

namespace {

// Valid names are not longer. The time to compare grows with the product of the lengths, so a
// maliciously long word would delay the acceptance of a configuration.
constexpr std::size_t MaxWordLength = 100;

std::size_t editDistance(const std::string &left, const std::string &right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 1; i <= left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const std::size_t replaced = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
        }
    }
    return row.back();
}

}

std::string nearestName(const std::string &word, const std::vector<std::string> &candidates)
{
    // Beyond a distance of a third of the word, a suggestion is more likely wrong than right.
    std::size_t best = std::max<std::size_t>(2, word.size() / 3) + 1;
    std::string nearest;
    if (word.size() > MaxWordLength) {
        return {};
    }
    for (const auto &candidate : candidates) {
        const auto difference = std::max(word.size(), candidate.size()) - std::min(word.size(), candidate.size());
        if (difference >= best) {
            continue;
        }
        const auto distance = editDistance(word, candidate);
        if (distance < best) {
            best = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

std::string suggestion(const std::string &word, const std::vector<std::string> &candidates)
{
    const auto nearest = nearestName(word, candidates);
    return nearest.empty() ? std::string() : "; did you mean \"" + nearest + "\"?";
}

}
