#include "adapters/codec/jsonsplice.h"

#include <iterator>
#include <nlohmann/json.hpp>

namespace Galenahill {

namespace {

using Json = nlohmann::json;

// A place in a text that others can ask how far the reading has come.
class TrackedIterator
{
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char *;
    using reference = const char &;

    TrackedIterator(const char *at, const char **reached)
        : m_at(at)
        , m_reached(reached)
    {
    }

    reference operator*() const
    {
        return *m_at;
    }

    TrackedIterator &operator++()
    {
        *m_reached = ++m_at;
        return *this;
    }

    bool operator==(const TrackedIterator &other) const
    {
        return m_at == other.m_at;
    }

private:
    const char *m_at;
    const char **m_reached;
};

// Notes where the tables under one key begin and end. The parser reads a bracket
// without looking ahead, so that the place reached is just behind it.
class TableFinder : public nlohmann::json_sax<Json>
{
public:
    struct Range
    {
        const char *begin;
        const char *end;
    };

    TableFinder(std::string_view key, const char *const *reached)
        : m_key(key)
        , m_reached(reached)
    {
    }

    std::vector<Range> found;
    std::string fault;

    bool start_object(std::size_t) override
    {
        ++m_depth;
        if (m_tableDepth == 0 && m_underKey) {
            m_tableDepth = m_depth;
            found.push_back({*m_reached - 1, nullptr});
        }
        m_underKey = false;
        return true;
    }

    bool end_object() override
    {
        if (m_depth == m_tableDepth) {
            found.back().end = *m_reached;
            m_tableDepth = 0;
        }
        --m_depth;
        return true;
    }

    bool key(string_t &name) override
    {
        m_underKey = name == m_key;
        return true;
    }

    bool start_array(std::size_t) override
    {
        m_underKey = false;
        return true;
    }

    bool parse_error(std::size_t, const std::string &, const nlohmann::detail::exception &error) override
    {
        fault = error.what();
        return false;
    }

    // clang-format off
    bool end_array() override { return true; }
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t &) override { return true; }
    bool string(string_t &) override { return true; }
    bool binary(binary_t &) override { return true; }
    // clang-format on

private:
    std::string_view m_key;
    const char *const *m_reached;
    std::size_t m_depth = 0;
    // Depth of the table that is being passed over; zero outside.
    std::size_t m_tableDepth = 0;
    bool m_underKey = false;
};

}

Result<SplicedJson> spliceOut(const std::string &text, std::string_view key)
{
    const char *reached = text.data();
    TableFinder finder(key, &reached);
    const auto *end = text.data() + text.size();
    if (!Json::sax_parse(TrackedIterator(text.data(), &reached), TrackedIterator(end, &reached), &finder)) {
        return failure(ErrorKind::Corrupt, finder.fault);
    }
    SplicedJson result;
    const auto *at = text.data();
    for (const auto &range : finder.found) {
        result.rest.append(at, range.begin);
        result.rest += std::to_string(result.parts.size());
        result.parts.emplace_back(range.begin, range.end);
        at = range.end;
    }
    result.rest.append(at, end);
    return result;
}

SplicedDocument parseSpliced(const std::string &text, std::string_view key)
{
    auto spliced = spliceOut(text, key);
    if (!spliced) {
        throw std::invalid_argument(spliced.error().message);
    }
    return {nlohmann::json::parse(spliced->rest), std::move(spliced->parts)};
}

}
