#pragma once

#include "common/identifiers.h"

#include <cstddef>
#include <unordered_map>

namespace Galenahill {

// Slot time of one target that each customer used and asked for lately, and which customers use more
// than their fair share of it. A call belongs to the customer at the root of its call tree; calls
// without a customer count as those of one further customer.
//
// While the target is short of slots, the shares are max-min fair: there is one level such that all
// customers together get the slot time that there is if each gets what it asks for, but no more than
// the level. A customer that is cut deeply by that gets up to twice the level, as long as that is at
// most half of what it asks for. Otherwise the largest customer alone would pay for the bursts of
// all others and lose more than half of its calls.
class CustomerShares
{
public:
    struct Options
    {
        // Time in which the weight of slot time decays by the factor e. Long enough that a customer
        // that uses a twentieth of the slots has some calls in it, and short enough that a burst no
        // longer counts against its customer some seconds after it.
        Milliseconds decay{5000};
        // Customers beyond this number are kept by what they ask for. Those that are left out are the
        // smallest, and within their share.
        std::size_t maxCustomers = 512;
    };

    explicit CustomerShares(Options options);

    // A call got a slot, for which it is expected to use that time, or gave it back after the actual time.
    void callStarted(const CustomerName &customer, std::chrono::microseconds expected, TimePoint now);
    void callEnded(const CustomerName &customer, std::chrono::microseconds expected, std::chrono::microseconds actual, TimePoint now);

    // A call that would have used that time got no slot because too few were free.
    void callRejected(const CustomerName &customer, std::chrono::microseconds expected, TimePoint now);

    // Whether calls were rejected lately because too few slots were free.
    bool isShort() const;

    // Slot time by which the customer is above its share; zero if it is not, or while there is no shortage.
    std::chrono::microseconds excess(const CustomerName &customer, TimePoint now);

    // Number of customers above their share.
    std::size_t countAboveShare(TimePoint now);

    // Number of customers that are kept.
    std::size_t size() const;

private:
    // Slot times in seconds at m_reference: later ones are scaled up by what the earlier ones decay.
    struct Usage
    {
        double used = 0;
        double asked = 0;
    };

    double scale(TimePoint now);
    Usage &usageOf(const CustomerName &customer);
    void add(const CustomerName &customer, double used, double asked);
    void removeSmallest();
    void updateLevel(TimePoint now);
    double sumOfShares(double level) const;
    double excess(const Usage &usage) const;

    Options m_options;
    std::unordered_map<CustomerName, Usage> m_customers;
    // Sums over all customers.
    double m_used = 0;
    double m_asked = 0;
    TimePoint m_reference;
    // The level, and when it was calculated; zero while there is no shortage.
    double m_level = 0;
    TimePoint m_levelTime;
};

}
