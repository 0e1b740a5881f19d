#include "adapters/codec/binarycodec.h"
#include "leasefleet.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>

using namespace Galenahill;
using std::chrono::seconds;

namespace {

constexpr std::size_t Nodes = 81;

std::vector<CustomerDefinition> customers(const std::vector<CustomerLimit> &limits)
{
    std::vector<CustomerDefinition> result;
    result.reserve(limits.size());
    for (const auto &limit : limits) {
        result.push_back({.name = CustomerName("customer-" + std::to_string(result.size())), .limit = limit});
    }
    return result;
}

const std::vector<CustomerLimit> Typical = {{650, 650}, {60, 60}, {8, 8}, {1, 1}, {100, 1}};

// Demand of a multiple of each customer's limit, for a while that lets bursts end.
void overload(LeaseFleet &fleet, double factor, Milliseconds time)
{
    for (std::size_t customer = 0; customer < Typical.size(); ++customer) {
        fleet.setDemandEverywhere(customer, Typical[customer].ratePerSecond * factor);
    }
    fleet.run(time);
}

void checkBound(const LeaseFleet &fleet)
{
    for (std::size_t customer = 0; customer < Typical.size(); ++customer) {
        BOOST_TEST(fleet.highestLoad(customer) <= 1, "customer " << customer << " ran " << fleet.highestLoad(customer) << " of the bound");
    }
}

}

// Guards against demand above the limit that runs, or against tokens that lie unused at nodes: the whole
// fleet full, and one node alone.
BOOST_AUTO_TEST_CASE(SustainedExcessUsesTheLimitAndNoMore)
{
    for (const bool oneNode : {false, true}) {
        LeaseFleet fleet(Nodes, customers(Typical), true);
        for (std::size_t customer = 0; customer < Typical.size(); ++customer) {
            const auto rate = Typical[customer].ratePerSecond * 3;
            oneNode ? fleet.setDemand(customer, 7, rate) : fleet.setDemandEverywhere(customer, rate);
        }
        fleet.run(seconds(10));
        const auto from = fleet.now();
        fleet.run(seconds(60));
        checkBound(fleet);
        for (std::size_t customer = 0; customer < Typical.size(); ++customer) {
            const auto used = static_cast<double>(fleet.ran(customer, from)) / (60 * Typical[customer].ratePerSecond);
            BOOST_TEST(used >= 0.95, "customer " << customer << " used " << used << " of its limit, at one node: " << oneNode);
        }
    }
}

// Guards against rejections although the fleet as a whole has tokens, also of customers with less than
// one call per second at each node, and against datagrams that cost more than they may.
BOOST_AUTO_TEST_CASE(BelowTheLimitNothingIsRejected)
{
    std::vector<CustomerLimit> limits;
    for (std::size_t rank = 1; rank <= 83; ++rank) {
        const auto rate = std::max(1.0, 650 / std::pow(static_cast<double>(rank), 1.2));
        limits.push_back({rate, rate});
    }
    LeaseFleet fleet(Nodes, customers(limits), true);
    for (std::size_t customer = 0; customer < limits.size(); ++customer) {
        fleet.setDemandEverywhere(customer, limits[customer].ratePerSecond / 1.6);
    }
    fleet.run(seconds(60));
    BOOST_TEST(fleet.counts.denied == 0U);
}

BOOST_AUTO_TEST_CASE(DatagramsStayBelowOneKilobytePerNode)
{
    std::vector<CustomerLimit> limits;
    double sum = 0;
    for (std::size_t rank = 1; rank <= 83; ++rank) {
        sum += std::pow(static_cast<double>(rank), -1.2);
    }
    for (std::size_t rank = 1; rank <= 83; ++rank) {
        const auto rate = 1.6 * 22 * 80 * std::pow(static_cast<double>(rank), -1.2) / sum;
        limits.push_back({rate, std::max(rate, 1.0)});
    }
    LeaseFleet fleet(80, customers(limits), true);
    fleet.sizeOf = [](const LeaseMessage &message) { return encode(message).size(); };
    for (std::size_t customer = 0; customer < limits.size(); ++customer) {
        fleet.setDemandEverywhere(customer, limits[customer].ratePerSecond / 1.6);
    }
    fleet.run(seconds(30));
    const auto perNode = 30 * 80;
    BOOST_TEST_MESSAGE("datagrams " << double(fleet.counts.datagrams) / perNode << " bytes " << double(fleet.counts.bytes) / perNode << " waited "
                                    << double(fleet.counts.waited) / perNode);
    BOOST_TEST(fleet.counts.bytes / perNode < 1000U);
    BOOST_TEST(fleet.counts.denied == 0U);
}

// Guards against a burst allowance that is divided among nodes.
BOOST_AUTO_TEST_CASE(BurstAtOneNodeGetsTheWholeBurst)
{
    LeaseFleet fleet(Nodes, customers(Typical), true);
    fleet.setDemandEverywhere(0, 200);
    fleet.run(seconds(5));
    const auto from = fleet.now();
    for (int call = 0; call < 650; ++call) {
        fleet.call(0, 3);
    }
    fleet.run(Milliseconds(100));
    BOOST_TEST(fleet.ran(0, from) >= 650U);
    BOOST_TEST(fleet.counts.denied == 0U);
}

// Guards against tokens that nodes which can't reach each other spend twice, before, while and after the
// membership notices: one node, the grantor, half of the fleet, and all of them, also in a small fleet.
BOOST_AUTO_TEST_CASE(PartitionsStayWithinTheBound)
{
    for (const std::size_t nodes : {std::size_t(3), Nodes}) {
        for (int partition = 0; partition < 4; ++partition) {
            LeaseFleet fleet(nodes, customers(Typical), true);
            overload(fleet, 0.6, seconds(40));
            overload(fleet, 4, seconds(1));
            const auto grantor = fleet.grantorOf(0);
            fleet.setGroups([&](std::size_t node) -> int {
                return partition == 0 ? node == 0 : partition == 1 ? node == grantor : partition == 2 ? static_cast<int>(node % 2) : static_cast<int>(node);
            });
            fleet.run(seconds(25));
            fleet.setGroups([](std::size_t) { return 0; });
            fleet.run(seconds(15));
            checkBound(fleet);
            BOOST_TEST(fleet.ran(0, fleet.now() - seconds(5)) >= 0.95 * 5 * 650);
        }
    }
}

// Guards against two grantors of a customer that both grant its whole limit.
BOOST_AUTO_TEST_CASE(GrantorKilledOrPausedStaysWithinTheBound)
{
    for (const bool killed : {true, false}) {
        for (const Milliseconds pause : {Milliseconds(1000), Milliseconds(7000)}) {
            LeaseFleet fleet(Nodes, customers(Typical), true);
            overload(fleet, 0.6, seconds(40));
            overload(fleet, 3, seconds(1));
            std::set<std::size_t> grantors;
            for (std::size_t customer = 0; customer < Typical.size(); ++customer) {
                grantors.insert(fleet.grantorOf(customer));
            }
            for (const auto grantor : grantors) {
                killed ? fleet.kill(grantor) : fleet.pause(grantor);
            }
            overload(fleet, 3, pause);
            for (const auto grantor : grantors) {
                killed ? void() : fleet.resume(grantor);
            }
            fleet.run(seconds(20));
            checkBound(fleet);
            BOOST_TEST(fleet.ran(0, fleet.now() - seconds(5)) >= 0.85 * 5 * 650);
        }
    }
}

// Guards against seconds in which all calls of a customer are rejected because its grantor died.
BOOST_AUTO_TEST_CASE(MostCallsRunWhileAGrantorIsReplaced)
{
    LeaseFleet fleet(Nodes, customers(Typical), true);
    overload(fleet, 0.5, seconds(40));
    fleet.kill(fleet.grantorOf(0));
    const auto from = fleet.now();
    fleet.run(seconds(10));
    BOOST_TEST(fleet.ran(0, from) >= 0.7 * 10 * 325);
}

// Guards against a grantor that takes over with a full bucket, right after its predecessor granted one.
BOOST_AUTO_TEST_CASE(GrantorsThatLeaveHandOverNoSecondBurst)
{
    LeaseFleet fleet(Nodes, customers(Typical), true);
    overload(fleet, 0.6, seconds(40));
    for (std::size_t customer = 0; customer < Typical.size(); ++customer) {
        fleet.setDemandEverywhere(customer, Typical[customer].ratePerSecond * 3);
    }
    for (int round = 0; round < 2; ++round) {
        fleet.run(seconds(1));
        for (std::size_t customer = 0; customer < Typical.size(); ++customer) {
            fleet.leave(fleet.grantorOf(customer));
        }
    }
    fleet.run(seconds(10));
    checkBound(fleet);
    BOOST_TEST(fleet.ran(0, fleet.now() - seconds(5)) >= 0.95 * 5 * 650);
}

// Guards against bursts that new processes grant again, with incomplete views of the fleet.
BOOST_AUTO_TEST_CASE(RestartOfAllNodesGrantsNoSecondBurst)
{
    for (const std::size_t firstView : {std::size_t(1), std::size_t(5), Nodes}) {
        LeaseFleet fleet(Nodes, customers(Typical), true);
        fleet.run(seconds(40));
        overload(fleet, 3, seconds(2));
        fleet.restartAll(firstView);
        overload(fleet, 3, seconds(10));
        checkBound(fleet);
        BOOST_TEST(fleet.ran(0, fleet.now() - seconds(5)) >= 0.95 * 5 * 650);
    }
}

// Guards against balances and buckets of the old limit, and against a grantor that has it for longer.
BOOST_AUTO_TEST_CASE(LoweredLimitTakesEffectWithTheRevision)
{
    LeaseFleet fleet(Nodes, customers({{650, 650}}), true);
    fleet.setDemandEverywhere(0, 400);
    fleet.run(seconds(10));
    fleet.setLimits(customers({{100, 100}}), [&](std::size_t node) { return node != fleet.grantorOf(0); });
    const auto from = fleet.now();
    fleet.run(seconds(1));
    fleet.setLimits(customers({{100, 100}}), [](std::size_t) { return true; });
    fleet.run(seconds(10));
    BOOST_TEST(fleet.highestLoad(0, from) <= 1);
}

// Guards against tokens that a late or repeated datagram creates, and against calls below the limit that
// fail because a datagram was lost.
BOOST_AUTO_TEST_CASE(LostAndRepeatedDatagramsCreateNoTokens)
{
    LeaseFleet fleet(Nodes, customers(Typical), true);
    fleet.lossShare = 0.05;
    fleet.repeatShare = 0.3;
    overload(fleet, 0.6, seconds(30));
    BOOST_TEST(static_cast<double>(fleet.counts.denied) < 0.002 * static_cast<double>(fleet.ran(0, {})));
    overload(fleet, 4, seconds(30));
    checkBound(fleet);
    BOOST_TEST(fleet.ran(0, fleet.now() - seconds(20)) >= 0.95 * 20 * 650);
}

// Guards against callers that are all told to come back at the same time.
BOOST_AUTO_TEST_CASE(RejectedCallersAreSpacedAtTheRate)
{
    LeaseFleet fleet(Nodes, customers({{10, 10}}), true);
    for (std::size_t call = 0; call < 60; ++call) {
        fleet.call(0, call % Nodes);
        fleet.run(Milliseconds(2));
    }
    fleet.run(Milliseconds(100));
    auto &retries = fleet.counts.retries;
    std::sort(retries.begin(), retries.end());
    BOOST_TEST(retries.size() >= 35U);
    // Over the first two seconds, at most three callers come back where two tokens arrive.
    const auto within = std::count_if(retries.begin(), retries.end(), [](auto retry) { return retry < seconds(2); });
    BOOST_TEST(within <= 30);
    BOOST_TEST((retries.back() >= seconds(3)));
}
