#pragma once

namespace Galenahill {

// Makes the C library return large blocks to the system as soon as they are freed. Must be called
// before any large allocation.
void tuneHeap();

}
