#include "core/calls/statedratelimit.h"

#include <algorithm>
#include <charconv>

namespace Galenahill {

namespace {

// Far more than a target can take; also keeps a limit's reciprocal representable.
constexpr double MaxRate = 1'000'000;

constexpr std::string_view DecimalCharacters = "0123456789.";

bool isStricter(const std::optional<CallsPerSecond> &left, const std::optional<CallsPerSecond> &right)
{
    return left && (!right || *left < *right);
}

}

std::optional<CallsPerSecond> parseRate(std::string_view text)
{
    double rate = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, rate, std::chars_format::fixed);
    // The parser also accepts a sign, "inf" and "nan".
    const bool isDecimal = !text.empty() && text.find_first_not_of(DecimalCharacters) == std::string_view::npos;
    const bool isWhole = parsed.ec == std::errc() && parsed.ptr == end;
    return isDecimal && isWhole && rate <= MaxRate ? std::optional(CallsPerSecond(rate)) : std::nullopt;
}

StatedRateLimit::Change StatedRateLimit::update(std::optional<CallsPerSecond> stated, TimePoint sentAt, TimePoint now)
{
    if (sentAt < m_resetAt) {
        return Change::None;
    }
    if (stated == m_limit) {
        m_confirmedAt = std::max(m_confirmedAt, now);
        return Change::None;
    }
    // A response to a request that was sent after the last statement arrived was produced later. For
    // any other response the order is unknown.
    const bool isLater = sentAt >= m_confirmedAt;
    if (!isLater && !isStricter(stated, m_limit)) {
        return Change::None;
    }
    const auto change = !m_limit ? Change::Stated : stated ? Change::Changed : Change::Lifted;
    m_limit = stated;
    m_confirmedAt = now;
    return change;
}

void StatedRateLimit::reset(TimePoint now)
{
    m_limit.reset();
    m_confirmedAt = now;
    m_resetAt = now;
}

std::optional<CallsPerSecond> StatedRateLimit::limit() const
{
    return m_limit;
}

TimePoint StatedRateLimit::confirmedAt() const
{
    return m_confirmedAt;
}

const char *toString(StatedRateLimit::Change change)
{
    switch (change) {
    case StatedRateLimit::Change::None:
        return "none";
    case StatedRateLimit::Change::Stated:
        return "stated";
    case StatedRateLimit::Change::Changed:
        return "changed";
    case StatedRateLimit::Change::Lifted:
        return "lifted";
    }
    return "none";
}

}
