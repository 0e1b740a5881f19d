#pragma once

#include "core/calls/servicelevelmetrics.h"

#include <cstdint>
#include <map>
#include <optional>

namespace Galenahill {

// What became of a call of a customer, as far as it concerns the customer's limit and keys.
enum class CustomerEvent {
    // The call ran, or may have run.
    Used,
    // Rejected because the customer is over its limit.
    RejectedForLimit,
    // Rejected because no customer has the key, or not any more.
    Unauthorized,
};

// The event for the final response to a call of a customer; none if the call was not run for a reason
// that has nothing to do with the customer.
std::optional<CustomerEvent> customerEventOf(CallResult result, unsigned status);

struct CustomerCounts
{
    std::uint64_t used = 0;
    std::uint64_t rejectedForLimit = 0;
    std::uint64_t unauthorized = 0;

    CustomerCounts &operator+=(const CustomerCounts &other);
    void add(CustomerEvent event);

    friend bool operator==(const CustomerCounts &, const CustomerCounts &) = default;
};

// The counts of one node since its start, or the sum of several nodes.
struct CustomerCountReport
{
    std::map<CustomerName, CustomerCounts> customers;
    // Unauthorized calls that belong to no customer, as their key is missing or unknown.
    std::uint64_t unidentified = 0;

    void add(const CustomerCountReport &other);

    friend bool operator==(const CustomerCountReport &, const CustomerCountReport &) = default;
};

}
