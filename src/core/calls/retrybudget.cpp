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

void RetryBudget::recordCall()
{
    m_tokens = std::min(m_options.maxTokens, m_tokens + m_options.tokensPerCall);
}

bool RetryBudget::hasToken() const
{
    return m_tokens >= 1;
}

bool RetryBudget::tryTakeToken()
{
    if (!hasToken()) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

void RetryBudget::chargeRetry()
{
    m_tokens -= 1;
}

void RetryBudget::returnToken()
{
    m_tokens = std::min(m_options.maxTokens, m_tokens + 1);
}

}
