#include "adapters/codec/jsonparts.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace Galenahill {

namespace {

constexpr std::string_view Blanks = " \t\r\n";
constexpr std::string_view ScalarEnds = " \t\r\n,]}";

// Reads the structure of a JSON text from its begin to its end.
class StructureReader
{
public:
    explicit StructureReader(std::string_view text)
        : m_text(text)
    {
    }

    // Skips blanks, and then the character if it is the next one.
    bool skip(char expected)
    {
        skipBlanks();
        const bool found = m_at < m_text.size() && m_text[m_at] == expected;
        m_at += found ? 1 : 0;
        return found;
    }

    void expect(char expected)
    {
        if (!skip(expected)) {
            fail();
        }
    }

    void expectEnd()
    {
        skipBlanks();
        if (m_at != m_text.size()) {
            fail();
        }
    }

    std::string readName()
    {
        skipBlanks();
        const auto begin = m_at;
        skipString();
        return nlohmann::json::parse(m_text.substr(begin, m_at - begin)).get<std::string>();
    }

    std::string_view readValue()
    {
        skipBlanks();
        const auto begin = m_at;
        std::size_t depth = 0;
        do {
            skipToken(depth);
        } while (depth > 0);
        return m_text.substr(begin, m_at - begin);
    }

private:
    void skipBlanks()
    {
        m_at = std::min(m_text.find_first_not_of(Blanks, m_at), m_text.size());
    }

    // Skips a string, a bracket, or the text up to the next of these.
    void skipToken(std::size_t &depth)
    {
        const char character = m_at < m_text.size() ? m_text[m_at] : '\0';
        if (character == '"') {
            skipString();
        } else if (character == '{' || character == '[') {
            ++depth;
            ++m_at;
        } else if (depth > 0 && (character == '}' || character == ']')) {
            --depth;
            ++m_at;
        } else {
            const auto end = std::min(m_text.find_first_of(depth > 0 ? "\"{}[]" : ScalarEnds, m_at), m_text.size());
            if (end == m_at) {
                fail();
            }
            m_at = end;
        }
    }

    void skipString()
    {
        expect('"');
        while (m_at < m_text.size() && m_text[m_at] != '"') {
            m_at += m_text[m_at] == '\\' ? 2 : 1;
        }
        expect('"');
    }

    [[noreturn]] void fail() const
    {
        throw std::invalid_argument(fmt::format("malformed JSON at byte {}", m_at));
    }

    std::string_view m_text;
    std::size_t m_at = 0;
};

}

std::vector<JsonMember> splitObject(std::string_view text)
{
    std::vector<JsonMember> members;
    StructureReader reader(text);
    reader.expect('{');
    for (bool more = !reader.skip('}'); more; more = !reader.skip('}')) {
        if (!members.empty()) {
            reader.expect(',');
        }
        auto name = reader.readName();
        reader.expect(':');
        members.push_back({std::move(name), reader.readValue()});
    }
    reader.expectEnd();
    return members;
}

std::vector<std::string_view> splitArray(std::string_view text)
{
    std::vector<std::string_view> elements;
    StructureReader reader(text);
    reader.expect('[');
    for (bool more = !reader.skip(']'); more; more = !reader.skip(']')) {
        if (!elements.empty()) {
            reader.expect(',');
        }
        elements.push_back(reader.readValue());
    }
    reader.expectEnd();
    return elements;
}

std::optional<std::string_view> findMember(const std::vector<JsonMember> &members, std::string_view name)
{
    const auto found = std::find_if(members.rbegin(), members.rend(), [name](const auto &member) { return member.name == name; });
    return found == members.rend() ? std::nullopt : std::optional(found->value);
}

std::string_view memberAt(const std::vector<JsonMember> &members, std::string_view name)
{
    const auto found = findMember(members, name);
    if (!found) {
        throw std::invalid_argument(fmt::format("{} is missing", name));
    }
    return *found;
}

}
