#include "busythreads.h"

namespace Galenahill {

BusyThreads::BusyThreads(std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        m_threads.emplace_back([this] {
            while (!m_stopped) { }
        });
    }
}

BusyThreads::~BusyThreads()
{
    m_stopped = true;
    for (auto &thread : m_threads) {
        thread.join();
    }
}

}
