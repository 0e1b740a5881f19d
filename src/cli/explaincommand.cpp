#include "cli/explaincommand.h"

#include "cli/calltrace.h"

#include <fmt/format.h>
#include <fstream>
#include <iostream>

namespace Galenahill {

Result<void> explain(const CommandOptions &options)
{
    const auto &id = options.arguments.front();
    CallTrace trace(id);
    for (std::size_t i = 1; i < options.arguments.size(); ++i) {
        std::ifstream file(options.arguments[i]);
        if (!file) {
            return failure(ErrorKind::Invalid, options.arguments[i] + ": can't be read; give log files of nodes, or none to read standard input");
        }
        trace.read(file);
    }
    if (options.arguments.size() == 1) {
        trace.read(std::cin);
    }
    if (trace.empty()) {
        return failure(ErrorKind::NotFound,
            fmt::format("{}: no log line mentions this call ({} lines could not be parsed); give the logs of all nodes; calls that succeed at once are not "
                        "logged by default",
                id,
                trace.unreadableLines()));
    }
    fmt::print("{}\n", options.json ? trace.json().dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) : trace.table());
    return {};
}

}
