#include "core/fleet/loadexchange.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>

using namespace Galenahill;

namespace {

MemberRecord memberOf(std::size_t dataCentre, std::size_t index)
{
    MemberRecord record;
    record.name = NodeName("vm-" + std::to_string(dataCentre) + "-" + std::to_string(index));
    record.dataCentre = DataCentre("dc-" + std::to_string(dataCentre));
    record.service = ServiceName(index % 2 == 0 ? "board" : "orders");
    record.address = "10." + std::to_string(dataCentre) + ".0." + std::to_string(index);
    record.controlPort = 7;
    record.incarnation = 5;
    record.state = MemberState::Ready;
    return record;
}

struct Fleet
{
    struct Node
    {
        MemberRecord record;
        LocalTargetLoad localLoad;
        std::unique_ptr<LoadExchange> exchange;
        std::map<std::string, TargetLoad> targets;
        std::map<std::string, PoolReport> pools;
        std::size_t sent = 0;
    };

    explicit Fleet(std::size_t dataCentres, std::size_t members, Milliseconds interval = Milliseconds(100))
    {
        for (std::size_t dataCentre = 0; dataCentre < dataCentres; ++dataCentre) {
            for (std::size_t i = 0; i < members; ++i) {
                nodes.push_back({.record = memberOf(dataCentre, i), .localLoad = {{3, 6}, Milliseconds(0)}});
                records.push_back(nodes.back().record);
            }
        }
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            start(i, interval);
        }
    }

    void start(std::size_t index, Milliseconds interval = Milliseconds(100))
    {
        auto &node = nodes[index];
        node.exchange = std::make_unique<LoadExchange>(LoadExchange::Options{.self = node.record,
            .seed = index + 1,
            .interval = interval,
            .localTargetLoad = [&node] { return node.localLoad; },
            .send =
                [this, &node](const Endpoint &to, const LoadReport &report) {
                    ++node.sent;
                    deliver(node.record.control(), to, report);
                },
            .targetLoadReceived = [&node](const NodeName &name, TargetLoad load, Milliseconds, TimePoint) { node.targets[name.value()] = load; },
            .poolLoadReceived = [&node](const PoolReport &pool, TimePoint) { node.pools[pool.dataCentre.value() + " " + pool.service.value()] = pool; }});
        node.exchange->setMembers(records);
    }

    void deliver(const Endpoint &from, const Endpoint &to, const LoadReport &report)
    {
        for (auto &node : nodes) {
            if (connected && node.record.control() == to) {
                node.exchange->receive(from, report, now);
            }
        }
    }

    void run(Milliseconds time)
    {
        for (Milliseconds passed(0); passed < time; passed += Milliseconds(100)) {
            now += Milliseconds(100);
            for (auto &node : nodes) {
                node.exchange->tick(now);
            }
        }
    }

    std::vector<MemberRecord> records;
    std::vector<Node> nodes;
    bool connected = true;
    TimePoint now{Milliseconds(1'000'000)};
};

}

BOOST_AUTO_TEST_CASE(EveryTargetIsKnownThroughoutItsDataCentreWithinASecond)
{
    Fleet fleet(1, 49);
    fleet.run(Milliseconds(1000));
    fleet.nodes[0].localLoad.load.calls = 6;
    fleet.run(Milliseconds(1000));
    for (const auto &node : fleet.nodes) {
        BOOST_TEST(node.exchange->knownTargets() == 49U);
        BOOST_TEST(node.exchange->oldestTargetAge(fleet.now).count() <= 1000);
        BOOST_TEST((&node == &fleet.nodes[0] || node.targets.at("vm-0-0").calls == 6U));
        // Two reports every 100 ms, whatever the size of the data centre.
        BOOST_TEST(node.sent <= 40U);
    }
}

// Scenario: a data centre in a fleet of 1,100 VMs has more targets than fit into one report. No
// target may be left out for good.
BOOST_AUTO_TEST_CASE(TargetsBeyondOneReportAreKnownAsWell)
{
    Fleet fleet(1, 220);
    fleet.run(Milliseconds(3000));
    for (const auto &node : fleet.nodes) {
        BOOST_TEST(node.targets.size() + 1 == 220U);
    }
}

BOOST_AUTO_TEST_CASE(RemoteDataCentresAreKnownByTheirServiceSums)
{
    Fleet fleet(3, 10);
    fleet.run(Milliseconds(3000));
    const auto &pools = fleet.nodes[0].pools;
    BOOST_REQUIRE(pools.size() == 6U);
    BOOST_TEST(pools.at("dc-2 board").limit == 30U);
    BOOST_TEST(pools.at("dc-2 board").calls == 15U);
    BOOST_TEST(fleet.nodes[0].targets.count("vm-2-0") == 0U);
}

BOOST_AUTO_TEST_CASE(LoadsOfUnreachableNodesExpire)
{
    Fleet fleet(2, 6);
    fleet.run(Milliseconds(2000));
    fleet.connected = false;
    fleet.run(Milliseconds(1200));
    BOOST_TEST(fleet.nodes[0].exchange->knownTargets() == 1U);
}

// Guards against calls kept away from a target that has just become ready.
BOOST_AUTO_TEST_CASE(TargetsThatAcceptNoCallsAreNotReported)
{
    Fleet fleet(1, 6);
    fleet.nodes[3].localLoad = {};
    fleet.run(Milliseconds(1000));
    BOOST_TEST(fleet.nodes[0].targets.count("vm-0-3") == 0U);
    fleet.nodes[3].localLoad = {{1, 6}, Milliseconds(0)};
    fleet.run(Milliseconds(1000));
    BOOST_TEST(fleet.nodes[0].targets.at("vm-0-3").calls == 1U);
}

BOOST_AUTO_TEST_CASE(IntervalOfZeroSendsNothing)
{
    Fleet fleet(2, 6, Milliseconds(0));
    fleet.run(Milliseconds(1000));
    BOOST_TEST(fleet.nodes[0].sent == 0U);
}

// Guards against loads from before a restart of the whole fleet that are applied to the restarted
// targets.
BOOST_AUTO_TEST_CASE(LoadsOfFormerIncarnationsAreDropped)
{
    Fleet fleet(1, 6);
    fleet.run(Milliseconds(1000));
    const LoadReport before{.targets = {{.target = fleet.records[1].name, .incarnation = 5, .calls = 6, .limit = 6}}};
    for (auto &record : fleet.records) {
        record.incarnation = 9;
    }
    fleet.start(0);
    fleet.nodes[0].targets.clear();
    fleet.nodes[0].exchange->receive(fleet.records[2].control(), before, fleet.now);
    BOOST_TEST(fleet.nodes[0].targets.empty());
    BOOST_TEST(fleet.nodes[0].exchange->dropped() == 1U);
}

BOOST_AUTO_TEST_SUITE(invalidReports)

struct Receiver : Fleet
{
    Receiver()
        : Fleet(2, 4)
    {
    }

    bool accepts(const TargetReport &target)
    {
        nodes[0].targets.clear();
        nodes[0].exchange->receive(records[1].control(), {.targets = {target}}, now);
        return !nodes[0].targets.empty();
    }

    bool accepts(const PoolReport &pool)
    {
        nodes[0].pools.clear();
        nodes[0].exchange->receive(records[1].control(), {.pools = {pool}}, now);
        return !nodes[0].pools.empty();
    }

    TargetReport goodTarget{.target = records[1].name, .incarnation = 5, .calls = 1, .limit = 6};
    PoolReport goodPool{.dataCentre = DataCentre("dc-1"), .service = ServiceName("board"), .calls = 1, .limit = 12};
};

BOOST_FIXTURE_TEST_CASE(FromUnknownSendersAreDropped, Receiver)
{
    nodes[0].exchange->receive({"10.9.9.9", 7}, {.targets = {goodTarget}}, now);
    BOOST_TEST(nodes[0].targets.empty());
    BOOST_TEST(nodes[0].exchange->dropped() == 1U);
    BOOST_TEST(accepts(goodTarget));
}

BOOST_FIXTURE_TEST_CASE(AboutUnknownTargetsAreDropped, Receiver)
{
    goodTarget.target = NodeName("of-another-customer");
    BOOST_TEST(!accepts(goodTarget));
    goodTarget.target = records[5].name;
    BOOST_TEST(!accepts(goodTarget));
    goodPool.dataCentre = DataCentre("nowhere");
    BOOST_TEST(!accepts(goodPool));
    goodPool.dataCentre = DataCentre("dc-1");
    goodPool.service = ServiceName("of-another-customer");
    BOOST_TEST(!accepts(goodPool));
    BOOST_TEST(nodes[0].exchange->dropped() == 4U);
}

BOOST_FIXTURE_TEST_CASE(AboutTheLocalTargetOrPoolAreIgnored, Receiver)
{
    goodTarget.target = records[0].name;
    BOOST_TEST(!accepts(goodTarget));
    goodPool.dataCentre = DataCentre("dc-0");
    BOOST_TEST(!accepts(goodPool));
}

BOOST_FIXTURE_TEST_CASE(WithValuesOutOfRangeAreDropped, Receiver)
{
    goodTarget.calls = 4'000'000'000U;
    BOOST_TEST(!accepts(goodTarget));
    goodTarget.calls = 1;
    goodTarget.waitMs = 3'600'000;
    BOOST_TEST(!accepts(goodTarget));
    goodPool.limit = 4'000'000'000U;
    BOOST_TEST(!accepts(goodPool));
    nodes[0].exchange->receive(records[1].control(), {.targets = std::vector<TargetReport>(5000, goodTarget)}, now);
    BOOST_TEST(nodes[0].exchange->dropped() == 4U);
}

BOOST_FIXTURE_TEST_CASE(ThatAreOlderDontReplaceNewerOnes, Receiver)
{
    BOOST_TEST(accepts(goodTarget));
    BOOST_TEST(!accepts(goodTarget));
    goodTarget.ageMs = 50;
    BOOST_TEST(!accepts(goodTarget));
    goodTarget.ageMs = 4'000'000'000U;
    BOOST_TEST(!accepts(goodTarget));
    now += Milliseconds(100);
    goodTarget.ageMs = 50;
    BOOST_TEST(accepts(goodTarget));
}

BOOST_AUTO_TEST_SUITE_END()
