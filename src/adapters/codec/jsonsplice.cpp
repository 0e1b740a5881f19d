#include "adapters/codec/jsonsplice.h"

#include "adapters/codec/jsonfields.h"

#include <fmt/format.h>
#include <iterator>
#include <nlohmann/json.hpp>

namespace Galenahill {

namespace {

using Json = nlohmann::json;

// An iterator over a text that publishes how far the parser has read.
class TrackedIterator
{
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char *;
    using reference = const char &;

    TrackedIterator(const char *at, const char **position)
        : m_at(at)
        , m_position(position)
    {
    }

    reference operator*() const
    {
        return *m_at;
    }

    TrackedIterator &operator++()
    {
        *m_position = ++m_at;
        return *this;
    }

    bool operator==(const TrackedIterator &other) const
    {
        return m_at == other.m_at;
    }

private:
    const char *m_at;
    const char **m_position;
};

// Records where the objects under one key begin and end. The parser reads a bracket without looking
// ahead, so the published position is just after it.
class ObjectFinder : public nlohmann::json_sax<Json>
{
public:
    struct Range
    {
        const char *begin;
        const char *end;
    };

    ObjectFinder(std::string_view key, const char *const *position)
        : m_key(key)
        , m_position(position)
    {
    }

    std::vector<Range> found;
    std::string errorText;

    bool start_object(std::size_t) override
    {
        ++m_depth;
        if (m_objectDepth == 0 && m_underKey) {
            m_objectDepth = m_depth;
            found.push_back({*m_position - 1, nullptr});
        }
        m_underKey = false;
        return true;
    }

    bool end_object() override
    {
        if (m_depth == m_objectDepth) {
            found.back().end = *m_position;
            m_objectDepth = 0;
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
        errorText = jsonErrorText(error);
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
    const char *const *m_position;
    std::size_t m_depth = 0;
    // Depth of the object that is being skipped; zero outside.
    std::size_t m_objectDepth = 0;
    bool m_underKey = false;
};

}

Result<SplicedJson> spliceOut(const std::string &text, std::string_view key)
{
    const char *position = text.data();
    ObjectFinder finder(key, &position);
    const auto *end = text.data() + text.size();
    if (!Json::sax_parse(TrackedIterator(text.data(), &position), TrackedIterator(end, &position), &finder)) {
        return failure(ErrorKind::Corrupt, finder.errorText);
    }
    SplicedJson result;
    const auto *at = text.data();
    for (const auto &range : finder.found) {
        result.rest.append(at, range.begin);
        // A number or a text could also be the original value under the key.
        result.rest += fmt::format(R"({{"{}":{}}})", PartField, result.parts.size());
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
