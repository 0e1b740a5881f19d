#pragma once

#include <atomic>
#include <cstddef>
#include <thread>
#include <vector>

namespace Galenahill {

// Threads that use the processor all the time, so that the processes beside them get a share of a core only.
class BusyThreads
{
public:
    explicit BusyThreads(std::size_t count);
    ~BusyThreads();

    BusyThreads(const BusyThreads &) = delete;
    BusyThreads &operator=(const BusyThreads &) = delete;

private:
    std::atomic<bool> m_stopped = false;
    std::vector<std::thread> m_threads;
};

}
