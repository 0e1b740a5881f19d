#include "cli/callstory.h"

#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>
#include <set>

namespace Galenahill {

namespace {

// Fields that have a column of their own, or say nothing about the call.
const std::set<std::string> ColumnFields = {"time_ms", "up_ms", "level", "node", "event", "dropped"};

// A smaller difference between the time of day and the steady clock isn't a step.
constexpr std::int64_t LeastStepMs = 500;

// Lines of a call on other nodes may seem so far outside of its time at the ingress
// before their clocks count as different.
constexpr std::int64_t ClockSlackMs = 20;

std::int64_t timeOf(const nlohmann::ordered_json &line)
{
    return line.value("time_ms", std::int64_t(0));
}

std::string fieldText(const nlohmann::ordered_json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string detailsOf(const nlohmann::ordered_json &line)
{
    std::string text;
    for (const auto &[name, value] : line.items()) {
        const bool empty = value.is_string() && value.get_ref<const std::string &>().empty();
        if (ColumnFields.count(name) == 0 && !empty) {
            text += fmt::format("{}{}={}", text.empty() ? "" : " ", name, fieldText(value));
        }
    }
    std::replace(text.begin(), text.end(), '\n', ' ');
    return text;
}

}

CallStory::CallStory(std::string id)
    : m_id(std::move(id))
{
}

// A call that a target makes for another has that one's id, a dot and more.
bool CallStory::concerns(const nlohmann::json &line) const
{
    const auto id = line.find("id");
    if (id == line.end() || !id->is_string()) {
        return false;
    }
    const auto &text = id->get_ref<const std::string &>();
    return text == m_id || text.rfind(m_id + ".", 0) == 0;
}

void CallStory::read(std::istream &log)
{
    std::string line;
    while (std::getline(log, line)) {
        const auto begin = line.find('{');
        if (begin == std::string::npos) {
            m_unreadable += line.empty() ? 0 : 1;
            continue;
        }
        auto parsed = nlohmann::ordered_json::parse(line.begin() + static_cast<std::ptrdiff_t>(begin), line.end(), nullptr, false);
        if (!parsed.is_object()) {
            ++m_unreadable;
            continue;
        }
        const auto node = parsed.value("node", std::string("?"));
        const auto time = unsteppedTime(parsed, node);
        if (concerns(parsed)) {
            m_lines.push_back({std::move(parsed), node, time});
        }
    }
}

std::int64_t CallStory::unsteppedTime(const nlohmann::ordered_json &line, const std::string &node)
{
    const auto up = line.find("up_ms");
    if (up == line.end() || !up->is_number_integer()) {
        return timeOf(line);
    }
    auto &clock = m_clocks[node];
    const auto upMs = up->get<std::int64_t>();
    const auto offset = timeOf(line) - upMs;
    const bool restarted = clock.known && upMs < clock.lastUp;
    if (!clock.known || restarted) {
        clock.known = true;
        clock.offset = offset;
    } else if (std::abs(offset - clock.lastOffset) >= LeastStepMs) {
        ++clock.steps;
    }
    clock.lastOffset = offset;
    clock.lastUp = upMs;
    return clock.offset + upMs;
}

// Whatever other nodes did for the call lies between its arrival and its end at the
// ingress. Gives the least shifts of nodes' lines with which that holds.
std::map<std::string, std::int64_t> CallStory::corrections() const
{
    const auto isEnd = [this](const Line &line) { return line.fields.value("id", std::string()) == m_id && line.fields.contains("ms"); };
    const auto end = std::find_if(m_lines.begin(), m_lines.end(), isEnd);
    std::map<std::string, std::int64_t> shifts;
    if (end == m_lines.end() || !end->fields.at("ms").is_number()) {
        return shifts;
    }
    const auto latest = end->time - 1;
    const auto earliest = end->time - static_cast<std::int64_t>(end->fields.at("ms").get<double>());
    for (const auto &line : m_lines) {
        const auto shift = line.time < earliest ? earliest - line.time : line.time > latest ? latest - line.time : 0;
        auto &known = shifts[line.node];
        if (line.node != end->node && std::abs(shift) > std::max(std::abs(known), ClockSlackMs)) {
            known = shift;
        }
    }
    std::erase_if(shifts, [](const auto &entry) { return entry.second == 0; });
    return shifts;
}

std::vector<CallStory::Line> CallStory::ordered() const
{
    const auto shifts = corrections();
    auto lines = m_lines;
    for (auto &line : lines) {
        if (const auto shift = shifts.find(line.node); shift != shifts.end()) {
            line.time += shift->second;
        }
    }
    std::stable_sort(lines.begin(), lines.end(), [](const Line &a, const Line &b) { return a.time < b.time; });
    return lines;
}

bool CallStory::empty() const
{
    return m_lines.empty();
}

std::size_t CallStory::unreadable() const
{
    return m_unreadable;
}

nlohmann::json CallStory::json() const
{
    auto lines = nlohmann::json::array();
    for (const auto &line : ordered()) {
        lines.emplace_back(line.fields);
    }
    auto steps = nlohmann::json::object();
    for (const auto &[node, clock] : m_clocks) {
        if (clock.steps > 0) {
            steps[node] = clock.steps;
        }
    }
    return {{"id", m_id}, {"lines", lines}, {"unreadable", m_unreadable}, {"clock_steps", steps}, {"clock_corrections_ms", corrections()}};
}

std::string CallStory::table() const
{
    auto text = fmt::format("{:>8}  {:<24} {:<22} {}", "MS", "NODE", "EVENT", "DETAILS");
    const auto lines = ordered();
    for (const auto &line : lines) {
        text += fmt::format(
            "\n{:>8}  {:<24} {:<22} {}", line.time - lines.front().time, line.node, line.fields.value("event", std::string("?")), detailsOf(line.fields));
    }
    for (const auto &[node, clock] : m_clocks) {
        if (clock.steps > 0) {
            text += fmt::format("\nthe time of day of {} stepped {} times in its log; its lines are ordered by its steady clock", node, clock.steps);
        }
    }
    for (const auto &[node, shift] : corrections()) {
        text += fmt::format("\nthe clock of {} is off by at least {} ms against the ingress; its lines are shifted by {} ms", node, std::abs(shift), shift);
    }
    if (m_unreadable > 0) {
        text += fmt::format("\n{} lines of the logs can't be read", m_unreadable);
    }
    return text;
}

}
