#pragma once

#include <optional>
#include <regex>
#include <sstream>
#include <string>

namespace Galenahill {

// The text without the progress lines of a revision that others of the same revision follow, in which
// the number of nodes does not fall. Any other line, and a progress that falls or that changes its
// revision, is left as it is.
inline std::string lastProgressOnly(const std::string &text)
{
    struct Progress
    {
        std::string revision;
        unsigned long nodes = 0;
    };
    static const std::regex pattern("revision ([0-9]+) in force on ([0-9]+) of [0-9]+ nodes");
    const auto progressOf = [](const std::string &line) -> std::optional<Progress> {
        std::smatch match;
        return std::regex_match(line, match, pattern) ? std::optional(Progress{match[1], std::stoul(match[2])}) : std::nullopt;
    };
    std::istringstream lines(text);
    std::string kept;
    std::string line;
    std::string held;
    std::optional<Progress> last;
    while (std::getline(lines, line)) {
        const auto progress = progressOf(line);
        const bool follows = last && progress && progress->revision == last->revision && progress->nodes >= last->nodes;
        kept += follows ? std::string() : held;
        held = line + "\n";
        last = progress;
    }
    return kept + held;
}

}
