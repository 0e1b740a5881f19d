#pragma once

#include <cstddef>
#include <cstdint>
#include <istream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Galenahill {

// What the logs of several nodes say about one call and the calls that targets
// made for it, in the order of time. The order holds where a node's time of day
// stepped, and where clocks of nodes disagree; the table then says so.
class CallStory
{
public:
    explicit CallStory(std::string id);

    // Takes the lines of one log. What stands before a line's JSON object is
    // passed over; a line without a whole object is counted as unreadable.
    void read(std::istream &log);

    bool empty() const;
    std::size_t unreadable() const;

    // The lines as they were logged, and what is known of the nodes' clocks.
    nlohmann::json json() const;

    // One row a line: time since the first, node, event, and the inputs and
    // outcome of the decision.
    std::string table() const;

private:
    struct Line
    {
        nlohmann::ordered_json fields;
        std::string node;
        // Milliseconds on the node's clock, without its steps.
        std::int64_t time = 0;
    };

    struct NodeClock
    {
        bool known = false;
        // Time of day less steady clock at the start of the log, and last.
        std::int64_t offset = 0;
        std::int64_t lastOffset = 0;
        std::int64_t lastUp = 0;
        std::size_t steps = 0;
    };

    bool concerns(const nlohmann::json &line) const;
    std::int64_t unsteppedTime(const nlohmann::ordered_json &line, const std::string &node);
    std::map<std::string, std::int64_t> corrections() const;
    std::vector<Line> ordered() const;

    std::string m_id;
    std::vector<Line> m_lines;
    std::map<std::string, NodeClock> m_clocks;
    std::size_t m_unreadable = 0;
};

}
