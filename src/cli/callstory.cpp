#include "cli/callstory.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace Galenahill {

namespace {

// Fields that have a column of their own, or say nothing about the call.
const std::set<std::string> ColumnFields = {"time_ms", "level", "node", "event", "dropped"};

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
        } else if (concerns(parsed)) {
            m_lines.push_back(std::move(parsed));
        }
    }
    std::stable_sort(m_lines.begin(), m_lines.end(), [](const auto &a, const auto &b) { return timeOf(a) < timeOf(b); });
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
    return {{"id", m_id}, {"lines", m_lines}, {"unreadable", m_unreadable}};
}

std::string CallStory::table() const
{
    auto text = fmt::format("{:>8}  {:<24} {:<22} {}", "MS", "NODE", "EVENT", "DETAILS");
    for (const auto &line : m_lines) {
        text += fmt::format("\n{:>8}  {:<24} {:<22} {}",
            timeOf(line) - timeOf(m_lines.front()),
            line.value("node", std::string("?")),
            line.value("event", std::string("?")),
            detailsOf(line));
    }
    if (m_unreadable > 0) {
        text += fmt::format("\n{} lines of the logs can't be read", m_unreadable);
    }
    return text;
}

}
