#include "adapters/log/jsonlogger.h"

#include <chrono>
#include <cstdio>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Galenahill {

namespace {

const char *levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "error";
}

}

Logger jsonLogger(std::string node, LogLevel least)
{
    return [node = std::move(node), least](LogLevel level, std::string_view event, const std::vector<LogField> &fields) {
        if (level < least) {
            return;
        }
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        nlohmann::ordered_json line;
        line["time_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
        line["level"] = levelName(level);
        line["node"] = node;
        line["event"] = event;
        for (const auto &field : fields) {
            std::visit([&](const auto &value) { line[field.key] = value; }, field.value);
        }
        // One call per line: stdio locks the stream, so lines don't mix.
        fmt::print(stderr, "{}\n", line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace));
    };
}

}
