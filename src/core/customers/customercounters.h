#pragma once

#include "core/config/configsnapshot.h"
#include "core/customers/customercounts.h"

#include <memory>
#include <mutex>

namespace Galenahill {

// Counts the calls of each customer of the configuration on this node. Its size is bounded by the
// configuration, whatever callers send. Thread-safe.
class CustomerCounters
{
public:
    // Counts calls of the configuration's customers from now on; drops the counts of others.
    void setConfig(std::shared_ptr<const ConfigSnapshot> config);

    // Counts a call of the customer; ignored if the configuration doesn't have the customer. An empty
    // name stands for a caller whose key is missing or unknown.
    void add(const CustomerName &customer, CustomerEvent event);

    CustomerCountReport report() const;

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const ConfigSnapshot> m_config;
    CustomerCountReport m_counts;
};

}
