// The record of a run: what was sent, answered and run, with the time since the begin.
#pragma once

#include "wire.h"

#include <fstream>
#include <mutex>

namespace Review {

class Record
{
public:
    explicit Record(const std::string &path);

    void add(const std::string &line);
    Seconds now() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    const Clock::time_point m_begin = Clock::now();
};

// Whether the run includes the disruption: the variable TROUBLE isn't 0.
bool hasTrouble();

}
