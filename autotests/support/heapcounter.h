#pragma once

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <malloc.h>
#include <new>

// Counts the heap allocations of the whole program. Include it in only one source file of a
// program.
namespace Galenahill::HeapCounter {

inline std::atomic<std::uint64_t> allocations = 0;
inline std::atomic<std::int64_t> liveBytes = 0;
inline std::atomic<std::int64_t> peakBytes = 0;

// Restarts the measurement of the peak and returns the bytes that are allocated now.
inline std::int64_t resetPeak()
{
    peakBytes = liveBytes.load();
    return liveBytes;
}

inline void *allocate(std::size_t size)
{
    void *memory = std::malloc(size);
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    ++allocations;
    const auto live = liveBytes += static_cast<std::int64_t>(malloc_usable_size(memory));
    auto peak = peakBytes.load();
    while (live > peak && !peakBytes.compare_exchange_weak(peak, live)) { }
    return memory;
}

inline void deallocate(void *memory)
{
    liveBytes -= static_cast<std::int64_t>(malloc_usable_size(memory));
    std::free(memory);
}

}

void *operator new(std::size_t size)
{
    return Galenahill::HeapCounter::allocate(size);
}

void operator delete(void *memory) noexcept
{
    Galenahill::HeapCounter::deallocate(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    Galenahill::HeapCounter::deallocate(memory);
}
