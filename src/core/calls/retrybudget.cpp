#include "core/calls/retrybudget.h"

#include <algorithm>

namespace Galenahill {

RetryBudget::RetryBudget(Options options)
    : m_options(options)
    , m_left(options.most)
{
}

void RetryBudget::setOptions(Options options)
{
    m_options = options;
    m_left = std::min(m_left, m_options.most);
}

void RetryBudget::callMade()
{
    m_left = std::min(m_options.most, m_left + m_options.perCall);
}

bool RetryBudget::hasOne() const
{
    return m_left >= 1;
}

bool RetryBudget::tryTake()
{
    if (!hasOne()) {
        return false;
    }
    m_left -= 1;
    return true;
}

void RetryBudget::spend()
{
    m_left -= 1;
}

void RetryBudget::giveBack()
{
    m_left = std::min(m_options.most, m_left + 1);
}

}
