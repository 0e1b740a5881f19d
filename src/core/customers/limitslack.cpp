#include "core/customers/limitslack.h"

#include <algorithm>

namespace Galenahill {

namespace {

constexpr double PoissonMargin = 12;
constexpr double MinBurstSeconds = 0.1;
constexpr double TakeoverShare = 0.02;
constexpr double ReserveShare = 0.25;

double allowedCalls(const CustomerLimit &limit)
{
    return limit.ratePerSecond * 5 + limit.burst;
}

}

double bucketCapacity(const CustomerLimit &limit)
{
    return std::max(limit.burst, limit.ratePerSecond * MinBurstSeconds) + PoissonMargin;
}

double takeoverTokens(const CustomerLimit &limit)
{
    return allowedCalls(limit) * TakeoverShare;
}

double reserveTokens(const CustomerLimit &limit, std::size_t members)
{
    return ReserveShare * (allowedCalls(limit) * 0.1 + 20) / static_cast<double>(std::max<std::size_t>(members, 1));
}

}
