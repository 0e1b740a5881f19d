#include "core/calls/latencyhistogram.h"

#include <fmt/format.h>
#include <numeric>

namespace Galenahill {

void LatencyHistogram::add(std::chrono::microseconds latency)
{
    constexpr double MicrosecondsPerMillisecond = 1000;
    const auto milliseconds = static_cast<double>(latency.count()) / MicrosecondsPerMillisecond;
    std::size_t step = 0;
    while (step < Bounds.size() && milliseconds > Bounds[step]) {
        ++step;
    }
    ++m_counts[step];
    m_sum += milliseconds;
}

std::uint64_t LatencyHistogram::count() const
{
    return std::accumulate(m_counts.begin(), m_counts.end(), std::uint64_t(0));
}

std::string LatencyHistogram::prometheusText(const std::string &name, const std::string &label) const
{
    std::string text;
    std::uint64_t below = 0;
    for (std::size_t step = 0; step < Bounds.size(); ++step) {
        below += m_counts[step];
        text += fmt::format("{}_bucket{{{},le=\"{}\"}} {}\n", name, label, Bounds[step], below);
    }
    text += fmt::format("{}_bucket{{{},le=\"+Inf\"}} {}\n", name, label, count());
    text += fmt::format("{}_sum{{{}}} {:.3f}\n", name, label, m_sum);
    text += fmt::format("{}_count{{{}}} {}\n", name, label, count());
    return text;
}

}
