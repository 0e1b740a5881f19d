#include "core/calls/retrybudget.h"

#include <algorithm>

namespace Galenahill {

namespace {

// Number of buckets in a window.
constexpr int StepsOfWindow = 20;

}

RetryBudget::RetryBudget(Options options)
    : m_options(options)
{
}

void RetryBudget::setOptions(Options options)
{
    if (options.window != m_options.window) {
        m_buckets.clear();
    }
    m_options = options;
}

std::int64_t RetryBudget::stepOf(TimePoint time) const
{
    return time.time_since_epoch() / (std::max(m_options.window, Milliseconds(StepsOfWindow)) / StepsOfWindow);
}

RetryBudget::Bucket &RetryBudget::bucketAt(TimePoint now)
{
    const auto step = stepOf(now);
    while (!m_buckets.empty() && m_buckets.front().step < step - StepsOfWindow) {
        m_buckets.pop_front();
    }
    if (m_buckets.empty() || m_buckets.back().step < step) {
        m_buckets.push_back({.step = step});
    }
    return m_buckets.back();
}

// Only calls of callers earn retries: a failing service would otherwise earn them by the nested calls of others.
void RetryBudget::recordCall(CallOrigin origin, TimePoint now)
{
    switch (origin) {
    case CallOrigin::Caller:
        bucketAt(now).calls += 1;
        break;
    case CallOrigin::Target:
        break;
    case CallOrigin::RetryAtTarget:
        bucketAt(now).retries += 1;
        break;
    }
}

// Retries count for up to one step more than the window, calls for up to one step less.
bool RetryBudget::hasToken(bool isNested, TimePoint now) const
{
    const auto step = stepOf(now);
    double allowed = m_options.slack;
    double used = 0;
    for (const auto &bucket : m_buckets) {
        allowed += bucket.step > step - StepsOfWindow ? bucket.calls * m_options.retriesPerCall : 0;
        used += bucket.step >= step - StepsOfWindow ? bucket.retries : 0;
    }
    const bool isClaimed = m_lastNestedRetry != TimePoint() && now - m_lastNestedRetry < m_options.nestedClaim;
    return allowed - used >= 1 + (isClaimed && !isNested ? allowed * m_options.nestedShare : 0);
}

bool RetryBudget::tryTakeToken(bool isNested, TimePoint now)
{
    if (isNested) {
        m_lastNestedRetry = now;
    }
    if (!hasToken(isNested, now)) {
        ++m_counts.refused;
        return false;
    }
    ++m_counts.taken;
    bucketAt(now).retries += 1;
    return true;
}

void RetryBudget::returnToken()
{
    ++m_counts.returned;
    const auto last = std::find_if(m_buckets.rbegin(), m_buckets.rend(), [](const auto &bucket) { return bucket.retries >= 1; });
    if (last != m_buckets.rend()) {
        last->retries -= 1;
    }
}

const RetryBudget::Counts &RetryBudget::counts() const
{
    return m_counts;
}

}
