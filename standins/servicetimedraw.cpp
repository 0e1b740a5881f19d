#include "servicetimedraw.h"

namespace Galenahill {

namespace {

// Bounds of the service times that aren't late, as shares of the mean.
constexpr double LeastShare = 0.5;
constexpr double GreatestShare = 1.5;

}

ServiceTimeDraw::ServiceTimeDraw(Options options)
    : m_options(options)
    , m_random(options.seed)
{
}

std::chrono::microseconds ServiceTimeDraw::next(TimePoint now)
{
    double factor = now < m_slowUntil ? m_slowFactor : 1;
    if (m_options.lateShare > 0) {
        factor *= std::uniform_real_distribution<double>(LeastShare, GreatestShare)(m_random);
        factor *= std::bernoulli_distribution(m_options.lateShare)(m_random) ? m_options.lateFactor : 1;
    }
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::duration<double, std::micro>(m_options.mean) * factor);
}

std::chrono::microseconds ServiceTimeDraw::mean() const
{
    return m_options.mean;
}

void ServiceTimeDraw::setMean(std::chrono::microseconds mean)
{
    m_options.mean = mean;
}

void ServiceTimeDraw::slowDown(double factor, TimePoint until)
{
    m_slowFactor = factor;
    m_slowUntil = until;
}

}
