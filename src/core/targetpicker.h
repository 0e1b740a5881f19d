#pragma once

#include "core/memberrecord.h"

#include <cstdint>
#include <random>
#include <unordered_map>
#include <vector>

namespace Galenahill {

// Chooses the target of a call: the less loaded of two random ones, in the
// own data centre while it has some that take calls.
class TargetPicker
{
public:
    struct Options
    {
        DataCentre dataCentre;
        std::uint64_t seed = 1;
        // Time that a target which refused or failed is passed over.
        Milliseconds restTime{200};
    };

    explicit TargetPicker(Options options);

    // The chosen target, or null if none is left. Tried ones aren't chosen
    // again.
    const MemberRecord *pick(const std::vector<MemberRecord> &targets, const std::vector<NodeName> &tried, TimePoint now);

    // A call to the target began or ended.
    void begin(const NodeName &target);
    void end(const NodeName &target);

    // The target refused or failed and rests for a while.
    void rest(const NodeName &target, TimePoint now);

private:
    struct Load
    {
        std::uint32_t inFlight = 0;
        TimePoint restsUntil;
    };

    Options m_options;
    std::mt19937_64 m_random;
    std::unordered_map<NodeName, Load> m_loads;
};

}
