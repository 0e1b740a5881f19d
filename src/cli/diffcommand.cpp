#include "cli/diffcommand.h"

#include "cli/linediff.h"
#include "cli/localfile.h"
#include "cli/nodeconnection.h"
#include "core/config/keyredaction.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <set>

namespace Galenahill {

using nlohmann::json;

namespace {

using FileTexts = std::map<std::string, std::string>;

// Fetches the files of the revision, or the files in force if no revision is given.
Result<FileTexts> fetchFiles(const CommandOptions &options, const std::string &revision)
{
    json params = json::object();
    if (!revision.empty()) {
        const auto number = parseWholeNumber(revision);
        if (!number) {
            return failure(ErrorKind::Invalid,
                fmt::format("--revision={}: give one revision number, or two as A..B; 'galenahillctl history' lists them", options.revision));
        }
        params["revision"] = *number;
    }
    const auto result = NodeConnection(options.node).call("show", params);
    if (!result) {
        return tl::unexpected(result.error());
    }
    FileTexts texts;
    for (const auto &file : result->at("files")) {
        texts[file.at("name")] = file.at("text");
    }
    return texts;
}

Result<void> print(const CommandOptions &options, const FileTexts &before, const FileTexts &after)
{
    std::set<std::string> names;
    for (const auto *texts : {&before, &after}) {
        for (const auto &[name, text] : *texts) {
            names.insert(name);
        }
    }
    json files = json::array();
    std::string report;
    for (const auto &name : names) {
        const auto left = before.find(name);
        const auto right = after.find(name);
        const auto lines = lineDiff(left == before.end() ? "" : left->second, right == after.end() ? "" : right->second);
        if (lines.empty()) {
            continue;
        }
        const std::string kind = left == before.end() ? "added" : right == after.end() ? "removed" : "changed";
        files.push_back({{"name", name}, {"kind", kind}, {"diff", lines}});
        report += fmt::format("{}: {}\n{}", name, kind, lines);
    }
    if (options.json) {
        fmt::print("{}\n", json({{"files", files}}).dump());
    } else {
        fmt::print("{}", report.empty() ? "no difference\n" : report);
    }
    return {};
}

// Compares the local file with the file of the same name in the revision. The node shows that one with
// placeholders instead of keys, so they are put into the local text, too.
Result<void> diffFile(const CommandOptions &options, FileTexts base)
{
    const auto text = readFile(options.arguments.front());
    if (!text) {
        return tl::unexpected(text.error());
    }
    const auto name = configFileName(options);
    FileTexts before;
    if (const auto found = base.find(name); found != base.end()) {
        before.insert(*found);
    }
    return print(options, before, {{name, redactKeys(*text)}});
}

}

Result<void> diff(const CommandOptions &options)
{
    if (options.arguments.empty() && options.revision.empty()) {
        return failure(ErrorKind::Invalid, "diff: give a FILE, or two revisions with --revision=A..B");
    }
    const auto dots = options.revision.find("..");
    auto before = fetchFiles(options, options.revision.substr(0, dots));
    if (!before && before.error().kind == ErrorKind::NotFound && options.revision.empty()) {
        before = FileTexts();
    }
    if (!before) {
        return tl::unexpected(before.error());
    }
    if (!options.arguments.empty()) {
        return diffFile(options, std::move(*before));
    }
    const auto after = fetchFiles(options, dots == std::string::npos ? "" : options.revision.substr(dots + 2));
    if (!after) {
        return tl::unexpected(after.error());
    }
    return print(options, *before, *after);
}

}
