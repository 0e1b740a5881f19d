#include "adapters/process/heaptuning.h"

#include <malloc.h>

namespace Galenahill {

namespace {

// Blocks of this size and more are mapped on their own: short-lived texts of a
// configuration would leave holes in the heap. Fixed, since the C library raises its
// threshold with each such block that is freed.
constexpr int MapThresholdBytes = 64 * 1024;

// Free memory that is kept at the heap's end, and taken at a time.
constexpr int KeptFreeBytes = 64 * 1024;
constexpr int GrowthBytes = 16 * 1024;

}

void tuneHeap()
{
    mallopt(M_MMAP_THRESHOLD, MapThresholdBytes);
    mallopt(M_TRIM_THRESHOLD, KeptFreeBytes);
    mallopt(M_TOP_PAD, GrowthBytes);
}

}
