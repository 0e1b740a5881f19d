#include "cli/explaincommand.h"

#include "cli/callstory.h"

#include <fmt/format.h>
#include <fstream>
#include <iostream>

namespace Galenahill {

Result<void> explain(const CommandOptions &options)
{
    const auto &id = options.arguments.front();
    CallStory story(id);
    for (std::size_t i = 1; i < options.arguments.size(); ++i) {
        std::ifstream file(options.arguments[i]);
        if (!file) {
            return failure(ErrorKind::Invalid, options.arguments[i] + ": can't be read; give log files of nodes, or none to read standard input");
        }
        story.read(file);
    }
    if (options.arguments.size() == 1) {
        story.read(std::cin);
    }
    if (story.empty()) {
        return failure(ErrorKind::NotFound,
            fmt::format(
                "{}: no line of the logs names it ({} lines can't be read); give the logs of all nodes, or a call that was answered at once left no line",
                id,
                story.unreadable()));
    }
    fmt::print("{}\n", options.json ? story.json().dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) : story.table());
    return {};
}

}
