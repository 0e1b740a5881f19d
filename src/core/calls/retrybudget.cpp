#include "core/calls/retrybudget.h"

#include <algorithm>

namespace Galenahill {

RetryBudget::RetryBudget(Options options)
    : m_options(options)
    , m_tokens(options.most)
{
}

void RetryBudget::setOptions(Options options)
{
    m_options = options;
    m_tokens = std::min(m_tokens, m_options.most);
}

void RetryBudget::callMade()
{
    m_tokens = std::min(m_options.most, m_tokens + m_options.perCall);
}

bool RetryBudget::hasOne() const
{
    return m_tokens >= 1;
}

bool RetryBudget::tryTake()
{
    if (!hasOne()) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

void RetryBudget::spend()
{
    m_tokens -= 1;
}

void RetryBudget::giveBack()
{
    m_tokens = std::min(m_options.most, m_tokens + 1);
}

}
