#pragma once

#include <cstddef>
#include <cstdint>
#include <istream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Galenahill {

// What the logs of several nodes say about one call and the calls that targets
// made for it, in the order of time.
class CallStory
{
public:
    explicit CallStory(std::string id);

    // Takes the lines of one log. What stands before a line's JSON object is
    // passed over; a line without a whole object is counted as unreadable.
    void read(std::istream &log);

    bool empty() const;
    std::size_t unreadable() const;

    // The lines as they were logged.
    nlohmann::json json() const;

    // One row a line: time since the first, node, event, and the inputs and
    // outcome of the decision.
    std::string table() const;

private:
    bool concerns(const nlohmann::json &line) const;

    std::string m_id;
    std::vector<nlohmann::ordered_json> m_lines;
    std::size_t m_unreadable = 0;
};

}
