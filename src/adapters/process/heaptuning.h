#pragma once

namespace Galenahill {

// Makes the C library give large blocks back as soon as they are freed. Call it
// before anything large is allocated.
void tuneHeap();

}
