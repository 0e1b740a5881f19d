#include "adapters/log/jsonlogger.h"

#include "common/tokenbucket.h"

#include <algorithm>
#include <chrono>
#include <fmt/format.h>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

namespace Galenahill {

namespace {

// Rate limit for the lines of one event at one level: a burst, and a sustained rate. Ten events at their limit
// amount to 200 lines or 60 KB per second.
constexpr double BurstLines = 40;
constexpr double LinesPerSecond = 20;

// A pipe that polls as writable accepts this much without blocking (PIPE_BUF).
constexpr std::size_t MaxLineBytes = 4096;

constexpr const char *LevelNames[] = {"debug", "info", "warning", "error"};

class LineWriter
{
public:
    bool allows(LogLevel level, std::string_view event)
    {
        const std::lock_guard lock(m_mutex);
        const auto now = Clock::now();
        const TokenBucket full({.tokensPerSecond = LinesPerSecond, .capacity = BurstLines, .initialTokens = BurstLines}, now);
        const bool allowed = m_rateLimits.try_emplace({level, std::string(event)}, full).first->second.tryTake(now);
        m_dropped += allowed ? 0 : 1;
        return allowed;
    }

    void write(nlohmann::ordered_json &line)
    {
        const std::lock_guard lock(m_mutex);
        if (m_dropped > 0) {
            line["dropped"] = m_dropped;
        }
        auto text = line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n";
        // A stalled reader of the output may cost log lines, but must not block calls.
        pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
        const bool writable = text.size() <= MaxLineBytes && poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
        const bool written = writable && ::write(STDOUT_FILENO, text.data(), text.size()) == static_cast<ssize_t>(text.size());
        m_dropped = written ? 0 : m_dropped + 1;
    }

private:
    std::mutex m_mutex;
    std::map<std::pair<LogLevel, std::string>, TokenBucket> m_rateLimits;
    std::uint64_t m_dropped = 0;
};

}

Logger jsonLogger(std::string node, LogLevel minLevel)
{
    auto writer = std::make_shared<LineWriter>();
    return [node = std::move(node), minLevel, writer, startTime = Clock::now()](LogLevel level, std::string_view event, const std::vector<LogField> &fields) {
        if (level < minLevel || !writer->allows(level, event)) {
            return;
        }
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        nlohmann::ordered_json line;
        line["time_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
        line["up_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - startTime).count();
        line["level"] = LevelNames[static_cast<std::size_t>(level)];
        line["node"] = node;
        line["event"] = event;
        for (const auto &field : fields) {
            std::visit([&](const auto &value) { line[field.key] = value; }, field.value);
        }
        writer->write(line);
    };
}

LogLevel logLevelOf(const std::string &name)
{
    const auto *const found = std::find(std::begin(LevelNames), std::end(LevelNames), name);
    return found == std::end(LevelNames) ? LogLevel::Info : static_cast<LogLevel>(found - std::begin(LevelNames));
}

}
