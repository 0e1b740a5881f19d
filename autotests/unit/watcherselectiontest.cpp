#include "core/fleet/watcherselection.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace Galenahill;

namespace {

MemberRecord member(const std::string &dataCentre, int number, std::uint32_t linkMbps)
{
    MemberRecord record;
    record.name = NodeName(dataCentre + "-" + std::to_string(number));
    record.dataCentre = DataCentre(dataCentre);
    record.state = MemberState::Ready;
    record.linkMbps = linkMbps;
    return record;
}

// Four data centres, each with `fast` members on fast links and ten on slow ones.
std::vector<MemberRecord> fleet(int fast, std::uint32_t fastMbps = 100)
{
    std::vector<MemberRecord> members;
    for (const std::string dataCentre : {"lk-west-a", "lk-west-b", "lk-west-c", "lk-west-d"}) {
        for (int number = 0; number < fast + 10; ++number) {
            members.push_back(member(dataCentre, number, number < fast ? fastMbps : 5));
        }
    }
    return members;
}

// Number of watchers by the bandwidth of their links.
std::map<std::uint32_t, int> watchers(const std::vector<MemberRecord> &members)
{
    std::map<std::uint32_t, int> chosen;
    for (const auto &self : members) {
        chosen[self.linkMbps] += WatcherSelection().selects(self, members) ? 1 : 0;
    }
    return chosen;
}

}

// Scenario: frequent changes to a large configuration, and most VMs on links of 5 Mbit/s. If such a
// VM watched the store, its link would carry two documents per second and nothing else. Two VMs of
// each data centre have 100 Mbit/s.
BOOST_AUTO_TEST_CASE(FastLinksWatchIfThereAreEnough)
{
    const auto chosen = watchers(fleet(2));
    BOOST_TEST(chosen.at(100) == 8);
    BOOST_TEST(chosen.at(5) == 0);
}

// Scenario: a fleet with many data centres. If the number of watchers grew in proportion, each
// change would multiply the calls to the store.
BOOST_AUTO_TEST_CASE(ManyDataCentresShareTheWatchers)
{
    for (const int dataCentres : {6, 8, 20}) {
        std::vector<MemberRecord> members;
        for (int dataCentre = 0; dataCentre < dataCentres; ++dataCentre) {
            for (int number = 0; number < 12; ++number) {
                members.push_back(member("dc-" + std::to_string(dataCentre), number, 100));
            }
        }
        BOOST_TEST(watchers(members).at(100) == 2 * dataCentres);
    }
}

// One member with a fast link in each data centre is too few: all of them may be lost at once.
BOOST_AUTO_TEST_CASE(SlowLinksWatchIfFastOnesAreFew)
{
    const auto chosen = watchers(fleet(1));
    BOOST_TEST(chosen.at(100) + chosen.at(5) == 16);
    BOOST_TEST(chosen.at(5) >= 12);
}

// With links of equal bandwidth four members of each data centre watch, also if no bandwidth is
// known.
BOOST_AUTO_TEST_CASE(EqualLinksShareTheRole)
{
    for (const std::uint32_t link : {0U, 1000U}) {
        auto members = fleet(2);
        for (auto &record : members) {
            record.linkMbps = link;
        }
        BOOST_TEST(watchers(members).at(link) == 16);
    }
}

// The members with fast links die together. The others take over as soon as those are suspect.
BOOST_AUTO_TEST_CASE(SlowLinksTakeOver)
{
    auto members = fleet(2);
    for (auto &record : members) {
        record.state = record.linkMbps == 100 ? MemberState::Suspect : record.state;
    }
    std::vector<MemberRecord> live;
    int chosen = 0;
    for (const auto &self : members) {
        chosen += self.linkMbps == 5 && WatcherSelection().selects(self, members) ? 1 : 0;
    }
    BOOST_TEST(chosen == 16);
}
