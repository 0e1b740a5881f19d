#include "record.h"

#include <cstdio>
#include <cstdlib>

namespace Review {

Record::Record(const std::string &path)
    : m_file(path, std::ios::trunc)
{
}

void Record::add(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%9.3f ", now().count());
    m_file << time << line << '\n' << std::flush;
}

Seconds Record::now() const
{
    return Clock::now() - m_begin;
}

bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string_view(trouble) != "0";
}

}
