#pragma once

#include "core/config/customerdefinition.h"

#include <cstddef>

namespace Galenahill {

// All nodes together may run (rate x 5 + burst) x 1.1 + 20 calls of a customer over any 5 s. The part of
// it beyond rate x 5 + burst is the slack; these functions divide it between everything that can let
// calls run beyond what a single token bucket would.

// Capacity of the customer's bucket: the burst and 12 calls of the slack. With a burst of 1, the bursts
// of Poisson arrivals at 1/1.6 of the rate would otherwise be rejected. A burst that is small for the
// rate is raised to a tenth of a second's tokens, which accumulate between two requests.
double bucketCapacity(const CustomerLimit &limit);

// Tokens that a grantor which takes over starts with: a fifth of a tenth of rate x 5 + burst. The reserves
// and the tokens of the previous grantor may be spent within the same 5 s.
double takeoverTokens(const CustomerLimit &limit);

// Tokens that one of `members` nodes may spend without the grantor: together a quarter of the slack.
double reserveTokens(const CustomerLimit &limit, std::size_t members);

}
