#include "core/customers/customercounts.h"

namespace Galenahill {

namespace {

constexpr unsigned UnauthorizedStatus = 401;
constexpr unsigned TooManyRequestsStatus = 429;

}

// A target may respond with these statuses, too, so they count only for calls that were not run.
std::optional<CustomerEvent> customerEventOf(CallResult result, unsigned status)
{
    if (result != CallResult::NotRun) {
        return CustomerEvent::Used;
    }
    switch (status) {
    case UnauthorizedStatus:
        return CustomerEvent::Unauthorized;
    case TooManyRequestsStatus:
        return CustomerEvent::RejectedForLimit;
    default:
        return std::nullopt;
    }
}

CustomerCounts &CustomerCounts::operator+=(const CustomerCounts &other)
{
    used += other.used;
    rejectedForLimit += other.rejectedForLimit;
    unauthorized += other.unauthorized;
    return *this;
}

void CustomerCounts::add(CustomerEvent event)
{
    switch (event) {
    case CustomerEvent::Used:
        ++used;
        break;
    case CustomerEvent::RejectedForLimit:
        ++rejectedForLimit;
        break;
    case CustomerEvent::Unauthorized:
        ++unauthorized;
        break;
    }
}

void CustomerCountReport::add(const CustomerCountReport &other)
{
    for (const auto &[name, counts] : other.customers) {
        customers[name] += counts;
    }
    unidentified += other.unidentified;
}

}
