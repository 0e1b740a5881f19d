#include "adapters/process/heaptuning.h"

#include <malloc.h>

namespace Galenahill {

namespace {

// Blocks of at least this size get a mapping of their own, since short-lived configuration texts
// would fragment the heap. Setting the threshold keeps the C library from raising it when such a
// block is freed.
constexpr int MapThresholdBytes = 64 * 1024;

// Free memory kept at the top of the heap, and the padding requested when the heap grows.
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
