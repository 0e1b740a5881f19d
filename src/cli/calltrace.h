#pragma once

#include <cstddef>
#include <cstdint>
#include <istream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Galenahill {

// The log lines of several nodes about one call and its nested calls, in order of time. The order is
// right even if a node's wall clock stepped or the clocks of nodes differ; the table then reports it.
class CallTrace
{
public:
    explicit CallTrace(std::string id);

    // Adds the lines of one log. Text before a line's JSON object is ignored; a line without a
    // complete object is counted as unreadable.
    void read(std::istream &log);

    bool empty() const;
    std::size_t unreadableLines() const;

    // The lines as they were logged, the ends of the callers' connections, and the detected clock steps and
    // differences per node.
    nlohmann::json json() const;

    // One row per line: milliseconds since the first line, node, event, and the event's other fields. Below
    // them, who ended a response before it was complete, how the callers' connections ended, and what is known
    // of the clocks.
    std::string table() const;

private:
    struct Line
    {
        nlohmann::ordered_json fields;
        std::string node;
        // Milliseconds on the node's wall clock, corrected for its steps.
        std::int64_t time = 0;
    };

    struct NodeClock
    {
        bool known = false;
        // Wall clock minus monotonic clock: on the node's first line (anew after a restart), and on
        // its latest line.
        std::int64_t offset = 0;
        std::int64_t lastOffset = 0;
        std::int64_t lastUp = 0;
        std::size_t steps = 0;
    };

    bool isAboutCall(const nlohmann::json &line) const;
    std::int64_t timeWithoutSteps(const nlohmann::ordered_json &line, const std::string &node);
    std::map<std::string, std::int64_t> clockCorrections() const;
    std::vector<Line> orderedLines() const;
    std::vector<const Line *> connectionEnds() const;
    const Line *connectionEndOf(const Line &call) const;

    std::string m_id;
    std::vector<Line> m_lines;
    // The ends of all connections in the logs; which of them carried the call is known once its line is.
    std::vector<Line> m_connectionEnds;
    std::map<std::string, NodeClock> m_clocks;
    std::size_t m_unreadable = 0;
};

}
