#include "adapters/log/jsonlogger.h"

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

using Clock = std::chrono::steady_clock;

// Lines of one event: so many at once, and so many a second after that. Ten
// kinds of events at their limit are 200 lines a second, 60 KB.
constexpr double BurstLines = 40;
constexpr double LinesPerSecond = 20;

// A pipe that is ready takes so much without blocking (PIPE_BUF).
constexpr std::size_t MaxLineBytes = 4096;

constexpr const char *LevelNames[] = {"debug", "info", "warning", "error"};

// How many more lines of one event may be written.
struct EventAllowance
{
    double lines = BurstLines;
    Clock::time_point since = Clock::now();

    bool tryTake()
    {
        const auto now = Clock::now();
        const auto passed = std::chrono::duration<double>(now - since).count();
        since = now;
        lines = std::min(BurstLines, lines + passed * LinesPerSecond);
        const bool allowed = lines >= 1;
        lines -= allowed ? 1 : 0;
        return allowed;
    }
};

class LineWriter
{
public:
    bool allows(std::string_view event)
    {
        const std::lock_guard lock(m_mutex);
        const bool allowed = m_allowances[std::string(event)].tryTake();
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
        // A reader that stalls must cost lines, never calls.
        pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
        const bool room = text.size() <= MaxLineBytes && poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
        const bool written = room && ::write(STDOUT_FILENO, text.data(), text.size()) == static_cast<ssize_t>(text.size());
        m_dropped = written ? 0 : m_dropped + 1;
    }

private:
    std::mutex m_mutex;
    std::map<std::string, EventAllowance> m_allowances;
    std::uint64_t m_dropped = 0;
};

}

Logger jsonLogger(std::string node, LogLevel least)
{
    auto writer = std::make_shared<LineWriter>();
    return [node = std::move(node), least, writer, began = Clock::now()](LogLevel level, std::string_view event, const std::vector<LogField> &fields) {
        if (level < least || !writer->allows(event)) {
            return;
        }
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        nlohmann::ordered_json line;
        line["time_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
        line["up_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - began).count();
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
