#include "core/customers/customershares.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace Galenahill {

namespace {

using Microseconds = std::chrono::microseconds;

// Share of the slot time asked for that must have been rejected for a shortage.
constexpr double MinRejectedShare = 0.01;

// A customer that is cut gets this part of what it asks for if that takes no more than this multiple
// of the level. Without it, the largest of 83 customers was served 0.4 of its calls at 120% load.
constexpr double GuaranteedPart = 0.5;
constexpr double MaxLevels = 2;

// Interval of the calculation of the level.
constexpr Milliseconds LevelInterval{20};

// Steps of the search for the level: to a thousandth of the largest customer.
constexpr int LevelSteps = 10;

// Scale from which on the slot times are converted to a new reference time.
constexpr double MaxScale = 1e9;

// Part of the customers that is kept when there are too many, so that they are sorted rarely.
constexpr double KeptPart = 0.75;

double seconds(Microseconds time)
{
    return std::chrono::duration<double>(time).count();
}

// Share of a customer that asks for that slot time.
double shareAt(double level, double asked)
{
    return std::max(level, std::min(GuaranteedPart * asked, MaxLevels * level));
}

}

CustomerShares::CustomerShares(Options options)
    : m_options(options)
{
}

// The factor by which slot time of now is scaled up, in place of scaling down all earlier slot time.
double CustomerShares::scale(TimePoint now)
{
    if (m_customers.empty()) {
        m_reference = now;
    }
    const auto factor = std::exp(std::chrono::duration<double>(now - m_reference).count() / seconds(m_options.decay));
    if (factor < MaxScale) {
        return factor;
    }
    for (auto &[name, usage] : m_customers) {
        usage.used /= factor;
        usage.asked /= factor;
    }
    m_used /= factor;
    m_asked /= factor;
    m_level /= factor;
    m_reference = now;
    return 1;
}

CustomerShares::Usage &CustomerShares::usageOf(const CustomerName &customer)
{
    if (m_customers.size() >= m_options.maxCustomers && m_customers.count(customer) == 0) {
        removeSmallest();
    }
    return m_customers[customer];
}

void CustomerShares::removeSmallest()
{
    std::vector<double> asked;
    asked.reserve(m_customers.size());
    for (const auto &[name, usage] : m_customers) {
        asked.push_back(usage.asked);
    }
    const auto removed = static_cast<std::ptrdiff_t>(static_cast<double>(asked.size()) * (1 - KeptPart));
    std::nth_element(asked.begin(), asked.begin() + removed, asked.end());
    const auto largestRemoved = asked[static_cast<std::size_t>(removed)];
    std::erase_if(m_customers, [&](const auto &item) {
        const auto &usage = item.second;
        const bool small = usage.asked <= largestRemoved;
        m_used -= small ? usage.used : 0;
        m_asked -= small ? usage.asked : 0;
        return small;
    });
}

void CustomerShares::add(const CustomerName &customer, double used, double asked)
{
    auto &usage = usageOf(customer);
    // A correction may concern slot time that has been forgotten with its customer.
    const auto usedNow = std::max(usage.used + used, 0.0);
    const auto askedNow = std::max(usage.asked + asked, usedNow);
    m_used += usedNow - usage.used;
    m_asked += askedNow - usage.asked;
    usage = {.used = usedNow, .asked = askedNow};
}

void CustomerShares::callStarted(const CustomerName &customer, Microseconds expected, TimePoint now)
{
    const auto time = seconds(expected) * scale(now);
    add(customer, time, time);
}

void CustomerShares::callEnded(const CustomerName &customer, Microseconds expected, Microseconds actual, TimePoint now)
{
    const auto correction = seconds(actual - expected) * scale(now);
    add(customer, correction, correction);
}

void CustomerShares::callRejected(const CustomerName &customer, Microseconds expected, TimePoint now)
{
    add(customer, 0, seconds(expected) * scale(now));
}

// Without customers, all calls belong to one. There is nothing to divide then, and a level that is found
// by steps would disturb the order of its calls.
bool CustomerShares::isShort() const
{
    return m_customers.size() > 1 && m_asked - m_used > MinRejectedShare * m_asked;
}

// Slot time that all customers together get at that level.
double CustomerShares::sumOfShares(double level) const
{
    double sum = 0;
    for (const auto &[name, usage] : m_customers) {
        sum += std::min(usage.asked, shareAt(level, usage.asked));
    }
    return sum;
}

void CustomerShares::updateLevel(TimePoint now)
{
    if (!isShort()) {
        m_level = 0;
        return;
    }
    // Converts the level together with the slot times if that is due.
    scale(now);
    if (m_level > 0 && now - m_levelTime < LevelInterval) {
        return;
    }
    m_levelTime = now;
    double low = 0;
    double high = 0;
    for (const auto &[name, usage] : m_customers) {
        high = std::max(high, usage.asked);
    }
    for (int step = 0; step < LevelSteps; ++step) {
        m_level = (low + high) / 2;
        (sumOfShares(m_level) > m_used ? high : low) = m_level;
    }
}

double CustomerShares::excess(const Usage &usage) const
{
    return m_level > 0 ? std::max(usage.used - shareAt(m_level, usage.asked), 0.0) : 0;
}

Microseconds CustomerShares::excess(const CustomerName &customer, TimePoint now)
{
    updateLevel(now);
    const auto found = m_customers.find(customer);
    if (m_level == 0 || found == m_customers.end()) {
        return Microseconds(0);
    }
    return std::chrono::duration_cast<Microseconds>(std::chrono::duration<double>(excess(found->second) / scale(now)));
}

std::size_t CustomerShares::countAboveShare(TimePoint now)
{
    updateLevel(now);
    return static_cast<std::size_t>(std::count_if(m_customers.begin(), m_customers.end(), [this](const auto &item) { return excess(item.second) > 0; }));
}

std::size_t CustomerShares::size() const
{
    return m_customers.size();
}

}
