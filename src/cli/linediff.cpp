#include "cli/linediff.h"

#include <algorithm>
#include <cstdint>
#include <sstream>
#include <vector>

namespace Galenahill {

namespace {

constexpr std::size_t ContextLines = 3;

// Limit of the comparison table's memory. If a larger table were needed, all lines between the common
// head and tail count as replaced.
constexpr std::size_t MaxTableCells = 16 * 1024 * 1024;

using Lines = std::vector<std::string>;

Lines splitLines(const std::string &text)
{
    Lines lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(std::move(line));
    }
    return lines;
}

// Table of the lengths of the longest common subsequences of all pairs of suffixes of two lists.
class SubsequenceTable
{
public:
    SubsequenceTable(const Lines &left, const Lines &right)
        : m_columns(right.size() + 1)
        , m_lengths((left.size() + 1) * m_columns)
    {
        for (std::size_t i = left.size(); i-- > 0;) {
            for (std::size_t j = right.size(); j-- > 0;) {
                m_lengths[i * m_columns + j] = left[i] == right[j] ? at(i + 1, j + 1) + 1 : std::max(at(i + 1, j), at(i, j + 1));
            }
        }
    }

    std::uint32_t at(std::size_t i, std::size_t j) const
    {
        return m_lengths[i * m_columns + j];
    }

private:
    std::size_t m_columns;
    std::vector<std::uint32_t> m_lengths;
};

// Compares the lines between the common head and tail. Puts ' ', '-' or '+' before each line.
Lines diffMiddle(const Lines &left, const Lines &right)
{
    Lines marked;
    std::size_t i = 0;
    std::size_t j = 0;
    if ((left.size() + 1) * (right.size() + 1) <= MaxTableCells) {
        const SubsequenceTable table(left, right);
        while (i < left.size() && j < right.size()) {
            if (left[i] == right[j]) {
                marked.push_back(" " + left[i++]);
                ++j;
            } else if (table.at(i + 1, j) >= table.at(i, j + 1)) {
                marked.push_back("-" + left[i++]);
            } else {
                marked.push_back("+" + right[j++]);
            }
        }
    }
    for (; i < left.size(); ++i) {
        marked.push_back("-" + left[i]);
    }
    for (; j < right.size(); ++j) {
        marked.push_back("+" + right[j]);
    }
    return marked;
}

bool isNearChange(const Lines &marked, std::size_t line)
{
    const auto begin = line < ContextLines ? 0 : line - ContextLines;
    const auto end = std::min(marked.size(), line + ContextLines + 1);
    return std::any_of(marked.begin() + static_cast<std::ptrdiff_t>(begin), marked.begin() + static_cast<std::ptrdiff_t>(end), [](const std::string &text) {
        return text.front() != ' ';
    });
}

}

std::string lineDiff(const std::string &oldText, const std::string &newText)
{
    if (oldText == newText) {
        return {};
    }
    const auto left = splitLines(oldText);
    const auto right = splitLines(newText);
    const auto shorter = static_cast<std::ptrdiff_t>(std::min(left.size(), right.size()));
    const auto head = std::mismatch(left.begin(), left.begin() + shorter, right.begin()).first - left.begin();
    const auto tail = std::mismatch(left.rbegin(), left.rbegin() + (shorter - head), right.rbegin()).first - left.rbegin();
    Lines marked;
    std::transform(left.begin(), left.begin() + head, std::back_inserter(marked), [](const auto &line) { return " " + line; });
    const auto middle = diffMiddle({left.begin() + head, left.end() - tail}, {right.begin() + head, right.end() - tail});
    marked.insert(marked.end(), middle.begin(), middle.end());
    std::transform(left.end() - tail, left.end(), std::back_inserter(marked), [](const auto &line) { return " " + line; });
    std::string text;
    bool skipped = false;
    for (std::size_t i = 0; i < marked.size(); ++i) {
        const bool shown = isNearChange(marked, i);
        if (shown) {
            text += (skipped && !text.empty() ? "...\n" : "") + marked[i] + "\n";
        }
        skipped = !shown;
    }
    return text.empty() ? "the texts differ only in the newline at the end\n" : text;
}

}
