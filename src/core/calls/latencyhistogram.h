#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>

namespace Galenahill {

// Histogram of latencies with fixed buckets, in constant memory.
class LatencyHistogram
{
public:
    // Upper bounds of the buckets in milliseconds; one more bucket holds all above.
    static constexpr std::array<std::uint32_t, 12> Bounds = {1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000};

    void add(std::chrono::microseconds latency);

    std::uint64_t count() const;

    // Lines of the Prometheus text format for the named metric, with the label as given, such as
    // stage="line".
    std::string prometheusText(const std::string &name, const std::string &label) const;

private:
    std::array<std::uint64_t, Bounds.size() + 1> m_counts{};
    double m_sum = 0;
};

}
