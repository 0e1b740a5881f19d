#include "core/customers/customercounters.h"

namespace Galenahill {

void CustomerCounters::setConfig(std::shared_ptr<const ConfigSnapshot> config)
{
    const std::lock_guard lock(m_mutex);
    if (config == m_config) {
        return;
    }
    std::map<CustomerName, CustomerCounts> kept;
    for (const auto &customer : config->customers()) {
        const auto found = m_counts.customers.find(customer.name);
        kept.emplace(customer.name, found == m_counts.customers.end() ? CustomerCounts() : found->second);
    }
    m_counts.customers = std::move(kept);
    m_config = std::move(config);
}

void CustomerCounters::add(const CustomerName &customer, CustomerEvent event)
{
    const std::lock_guard lock(m_mutex);
    if (customer.value().empty()) {
        ++m_counts.unidentified;
    } else if (const auto found = m_counts.customers.find(customer); found != m_counts.customers.end()) {
        found->second.add(event);
    }
}

CustomerCountReport CustomerCounters::report() const
{
    const std::lock_guard lock(m_mutex);
    return m_counts;
}

}
