#include "core/calls/retrybudget.h"

#include <algorithm>

namespace Galenahill {

RetryBudget::RetryBudget(Options options)
    : m_options(options)
    , m_tokens(options.maxTokens)
{
}

void RetryBudget::setOptions(Options options)
{
    m_options = options;
    m_tokens = std::min(m_tokens, m_options.maxTokens);
}

void RetryBudget::recordCall(CallOrigin origin, TimePoint)
{
    if (origin == CallOrigin::RetryAtTarget) {
        m_tokens -= 1;
        return;
    }
    m_tokens = std::min(m_options.maxTokens, m_tokens + m_options.tokensPerCall);
}

bool RetryBudget::hasToken(bool isNested, TimePoint now) const
{
    const bool isClaimed = m_lastNestedRetry != TimePoint() && now - m_lastNestedRetry < m_options.nestedClaim;
    return m_tokens >= 1 + (isClaimed && !isNested ? m_options.maxTokens * m_options.nestedShare : 0);
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
    m_tokens -= 1;
    return true;
}

const RetryBudget::Counts &RetryBudget::counts() const
{
    return m_counts;
}

void RetryBudget::returnToken()
{
    ++m_counts.returned;
    m_tokens = std::min(m_options.maxTokens, m_tokens + 1);
}

}
