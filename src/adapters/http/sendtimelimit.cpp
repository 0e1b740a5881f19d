#include "adapters/http/sendtimelimit.h"

namespace Galenahill {

namespace {

constexpr int ChecksPerLimit = 4;

}

SendTimeLimit::SendTimeLimit(const Options &options)
    : m_options(options)
{
}

void SendTimeLimit::begin(TimePoint now)
{
    m_lastProgress = now;
}

TimePoint SendTimeLimit::nextCheck(TimePoint now) const
{
    return now + m_options.limit / ChecksPerLimit;
}

bool SendTimeLimit::isOver(TimePoint now, std::uint64_t acknowledged)
{
    if (acknowledged >= m_acknowledged + m_options.minBytes) {
        m_acknowledged = acknowledged;
        m_lastProgress = now;
    }
    return now - m_lastProgress >= m_options.limit;
}

}
