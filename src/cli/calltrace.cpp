#include "cli/calltrace.h"

#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>
#include <set>

namespace Galenahill {

namespace {

// Fields left out of the details: shown in a column of their own, or unrelated to the call.
const std::set<std::string> ColumnFields = {"time_ms", "up_ms", "level", "node", "event", "dropped"};

// Smallest change of the offset between wall clock and monotonic clock that counts as a step.
constexpr std::int64_t MinStepMs = 500;

// Tolerance by which another node's line may lie outside of the call's time at the ingress before
// that node's clock is corrected.
constexpr std::int64_t ClockToleranceMs = 20;

// A line that names who ended a response before it was complete.
constexpr const char *EarlyEndEvent = "response-ended-early";

// How a connection of a node's server ended.
constexpr const char *ConnectionEndEvent = "connection-ended";

std::string formatField(const nlohmann::ordered_json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

// Says who ended the response, at which byte and why, with the state of the link if the node knows it.
std::string describeEarlyEnd(const nlohmann::ordered_json &line, const std::string &node)
{
    const auto field = [&line](const char *name) { return line.contains(name) ? formatField(line.at(name)) : std::string("?"); };
    auto text = fmt::format("the response ended early at {}: ended by the {} after {} bytes", node, field("ended_by"), field("sent_bytes"));
    if (line.value("bytes", std::int64_t(-1)) >= 0) {
        text += fmt::format(" of {}", field("bytes"));
    }
    const auto left = line.value("left_ms", std::int64_t(0));
    text += fmt::format(" ({}), {} ms {} the deadline", field("reason"), std::abs(left), left < 0 ? "after" : "before");
    if (line.contains("backlog_bytes")) {
        text += fmt::format("; the link's backlog was {} bytes, the rest would have taken {} ms", field("backlog_bytes"), field("missing_ms"));
    }
    return text;
}

// Says who closed the connection first, what it carried, and what its peer did not get.
std::string describeConnectionEnd(const nlohmann::ordered_json &line, const std::string &node, const std::string &id)
{
    const auto field = [&line](const char *name) { return line.contains(name) ? formatField(line.at(name)) : std::string("?"); };
    const auto unacknowledged = line.value("unacknowledged_bytes", std::int64_t(0));
    auto text = fmt::format("the connection of {}:{} to the {} {} ", field("peer"), field("peer_port"), field("server"), node);
    text
        += line.value("left_open", false) ? std::string("was open when the process ended") : fmt::format("ended, closed first by {}", field("closed_first_by"));
    text += fmt::format(": {} requests read, {} answered", field("requests_read"), field("requests_answered"));
    if (line.value("last_answered_id", std::string()) == id) {
        text += ", this call the last";
    }
    text += unacknowledged > 0 ? fmt::format("; {} bytes sent last were not acknowledged by the peer's kernel", unacknowledged)
                               : std::string("; the peer's kernel had acknowledged everything that was sent");
    if (const auto unread = line.value("unread_bytes", std::int64_t(0)); unread > 0) {
        text += fmt::format("; {} bytes of the peer were not read, so the connection was reset", unread);
    }
    return text;
}

std::int64_t wallClockTime(const nlohmann::ordered_json &line)
{
    return line.value("time_ms", std::int64_t(0));
}

std::string formatDetails(const nlohmann::ordered_json &line)
{
    std::string text;
    for (const auto &[name, value] : line.items()) {
        const bool empty = value.is_string() && value.get_ref<const std::string &>().empty();
        if (ColumnFields.count(name) == 0 && !empty) {
            text += fmt::format("{}{}={}", text.empty() ? "" : " ", name, formatField(value));
        }
    }
    std::replace(text.begin(), text.end(), '\n', ' ');
    return text;
}

}

CallTrace::CallTrace(std::string id)
    : m_id(std::move(id))
{
}

// The id of a nested call is its parent call's id followed by a dot and a suffix.
bool CallTrace::isAboutCall(const nlohmann::json &line) const
{
    const auto id = line.find("id");
    if (id == line.end() || !id->is_string()) {
        return false;
    }
    const auto &text = id->get_ref<const std::string &>();
    return text == m_id || text.rfind(m_id + ".", 0) == 0;
}

void CallTrace::read(std::istream &log)
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
        const auto time = timeWithoutSteps(parsed, node);
        if (parsed.value("event", std::string()) == ConnectionEndEvent) {
            m_connectionEnds.push_back({std::move(parsed), node, time});
        } else if (isAboutCall(parsed)) {
            m_lines.push_back({std::move(parsed), node, time});
        }
    }
}

std::int64_t CallTrace::timeWithoutSteps(const nlohmann::ordered_json &line, const std::string &node)
{
    const auto up = line.find("up_ms");
    if (up == line.end() || !up->is_number_integer()) {
        return wallClockTime(line);
    }
    auto &clock = m_clocks[node];
    const auto upMs = up->get<std::int64_t>();
    const auto offset = wallClockTime(line) - upMs;
    const bool restarted = clock.known && upMs < clock.lastUp;
    if (!clock.known || restarted) {
        clock.known = true;
        clock.offset = offset;
    } else if (std::abs(offset - clock.lastOffset) >= MinStepMs) {
        ++clock.steps;
    }
    clock.lastOffset = offset;
    clock.lastUp = upMs;
    return clock.offset + upMs;
}

// Everything that other nodes did for the call happened between its arrival and its end at the
// ingress. Returns, per node, the smallest shift in milliseconds that puts its lines in that interval.
std::map<std::string, std::int64_t> CallTrace::clockCorrections() const
{
    const auto isCallEnd = [this](const Line &line) { return line.fields.value("id", std::string()) == m_id && line.fields.contains("ms"); };
    const auto end = std::find_if(m_lines.begin(), m_lines.end(), isCallEnd);
    std::map<std::string, std::int64_t> shifts;
    if (end == m_lines.end() || !end->fields.at("ms").is_number()) {
        return shifts;
    }
    const auto latest = end->time - 1;
    const auto earliest = end->time - static_cast<std::int64_t>(end->fields.at("ms").get<double>());
    for (const auto &line : m_lines) {
        const auto shift = line.time < earliest ? earliest - line.time : line.time > latest ? latest - line.time : 0;
        auto &nodeShift = shifts[line.node];
        if (line.node != end->node && std::abs(shift) > std::max(std::abs(nodeShift), ClockToleranceMs)) {
            nodeShift = shift;
        }
    }
    std::erase_if(shifts, [](const auto &entry) { return entry.second == 0; });
    return shifts;
}

std::vector<CallTrace::Line> CallTrace::orderedLines() const
{
    const auto shifts = clockCorrections();
    auto lines = m_lines;
    for (auto &line : lines) {
        if (const auto shift = shifts.find(line.node); shift != shifts.end()) {
            line.time += shift->second;
        }
    }
    std::stable_sort(lines.begin(), lines.end(), [](const Line &a, const Line &b) { return a.time < b.time; });
    return lines;
}

// The first end of the connection between the call's ingress and that port of the caller after the call. A port is
// used again only after its connection has ended.
const CallTrace::Line *CallTrace::connectionEndOf(const Line &call) const
{
    const auto port = call.fields.value("caller_port", 0);
    const Line *first = nullptr;
    for (const auto &end : m_connectionEnds) {
        const bool matches = end.node == call.node && end.fields.value("server", std::string()) == "ingress" && end.fields.value("peer_port", 0) == port
            && end.fields.value("peer", std::string()) == call.fields.value("caller", std::string()) && end.time >= call.time;
        if (matches && (first == nullptr || end.time < first->time)) {
            first = &end;
        }
    }
    return first;
}

// Ends of connections that carried the call: those that name it, which is all that there is of a call that was
// answered at once, and those of the callers that its lines name.
std::vector<const CallTrace::Line *> CallTrace::connectionEnds() const
{
    std::vector<const Line *> ends;
    for (const auto &end : m_connectionEnds) {
        if (end.fields.value("last_answered_id", std::string()) == m_id) {
            ends.push_back(&end);
        }
    }
    for (const auto &line : m_lines) {
        const auto *end = line.fields.value("caller_port", 0) > 0 ? connectionEndOf(line) : nullptr;
        if (end != nullptr && std::find(ends.begin(), ends.end(), end) == ends.end()) {
            ends.push_back(end);
        }
    }
    return ends;
}

bool CallTrace::empty() const
{
    return m_lines.empty() && connectionEnds().empty();
}

std::size_t CallTrace::unreadableLines() const
{
    return m_unreadable;
}

nlohmann::json CallTrace::json() const
{
    auto lines = nlohmann::json::array();
    for (const auto &line : orderedLines()) {
        lines.emplace_back(line.fields);
    }
    auto connections = nlohmann::json::array();
    for (const auto *end : connectionEnds()) {
        connections.emplace_back(end->fields);
    }
    auto steps = nlohmann::json::object();
    for (const auto &[node, clock] : m_clocks) {
        if (clock.steps > 0) {
            steps[node] = clock.steps;
        }
    }
    return {{"id", m_id},
        {"lines", lines},
        {"connections", connections},
        {"unreadable", m_unreadable},
        {"clock_steps", steps},
        {"clock_corrections_ms", clockCorrections()}};
}

std::string CallTrace::table() const
{
    auto text = fmt::format("{:>8}  {:<24} {:<22} {}", "MS", "NODE", "EVENT", "DETAILS");
    const auto lines = orderedLines();
    for (const auto &line : lines) {
        text += fmt::format(
            "\n{:>8}  {:<24} {:<22} {}", line.time - lines.front().time, line.node, line.fields.value("event", std::string("?")), formatDetails(line.fields));
    }
    for (const auto &line : lines) {
        if (line.fields.value("event", std::string()) == EarlyEndEvent) {
            text += "\n" + describeEarlyEnd(line.fields, line.node);
        }
    }
    for (const auto *end : connectionEnds()) {
        text += "\n" + describeConnectionEnd(end->fields, end->node, m_id);
    }
    for (const auto &[node, clock] : m_clocks) {
        if (clock.steps > 0) {
            text += fmt::format("\nthe wall clock of {} stepped {} times in its log; its lines are ordered by its monotonic clock", node, clock.steps);
        }
    }
    for (const auto &[node, shift] : clockCorrections()) {
        text += fmt::format(
            "\nthe clock of {} differs from the clock of the ingress by at least {} ms; its lines are shifted by {} ms", node, std::abs(shift), shift);
    }
    if (m_unreadable > 0) {
        text += fmt::format("\n{} log lines could not be parsed", m_unreadable);
    }
    return text;
}

}
