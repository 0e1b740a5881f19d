#pragma once

#include "adapters/http/bodysource.h"

#include <algorithm>

namespace Galenahill::Test {

// A body that repeats one character. It may be cut off before it is complete.
class RepeatedBody : public BodySource
{
public:
    RepeatedBody(char character, std::size_t length, bool isCutOff = false)
        : m_character(character)
        , m_length(length)
        , m_left(length)
        , m_isCutOff(isCutOff)
    {
    }

    asio::awaitable<ErrorCode> read(std::string &part, std::size_t limit) override
    {
        if (m_isCutOff) {
            co_return asio::error::eof;
        }
        const auto count = std::min(m_left, limit);
        part.append(count, m_character);
        m_left -= count;
        co_return ErrorCode();
    }

    bool done() const override
    {
        return m_left == 0;
    }

    bool readStarted() const override
    {
        return m_left < m_length;
    }

    std::optional<std::uint64_t> length() const override
    {
        return m_length;
    }

private:
    char m_character;
    std::size_t m_length;
    std::size_t m_left;
    bool m_isCutOff;
};

}
