#include "core/fleet/storefreshness.h"
#include "core/fleet/watcherselection.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <random>

using namespace Galenahill;

namespace {

constexpr Milliseconds Step{10};
constexpr Milliseconds TickInterval{100};
constexpr Milliseconds Delay{5};
constexpr Milliseconds CheckTimeout{1000};
constexpr Milliseconds SettleTime{10000};

// A change has two seconds to be in force. Spread by gossip takes up to a third of a second of them.
constexpr Milliseconds NoticeLimit{1700};

// A fleet in model time, whose members hear of changes of the store by checks alone. A member that checks the store, or hears
// from one that did, knows the store's version.
class FreshnessFleet
{
public:
    FreshnessFleet(std::size_t dataCentres, std::size_t membersEach, double loss = 0)
        : m_loss(loss)
        , m_random(7)
    {
        for (std::size_t i = 0; i < dataCentres * membersEach; ++i) {
            MemberRecord record;
            record.name = NodeName(fmt::format("node-{}", i));
            record.dataCentre = DataCentre(fmt::format("dc-{}", i % dataCentres));
            record.address = fmt::format("10.0.{}.{}", i / 200, i % 200);
            record.controlPort = 1;
            record.linkMbps = 100;
            record.state = MemberState::Ready;
            records.push_back(record);
        }
        watchers = WatcherSelection{.maxPerDataCentre = 4}.watchers(records);
        for (std::size_t i = 0; i < records.size(); ++i) {
            m_members.emplace_back(StoreFreshness::Options{.self = records[i], .seed = i + 1, .started = m_now});
            m_members.back().freshness.setMembers(records);
            m_index[records[i].control()] = i;
        }
    }

    bool isWatcher(std::size_t member) const
    {
        return std::any_of(watchers.begin(), watchers.end(), [&](const auto &watcher) { return watcher.name == records[member].name; });
    }

    void run(Milliseconds time)
    {
        for (const auto until = m_now + time; m_now < until; m_now += Step) {
            for (std::size_t i = 0; i < m_members.size(); ++i) {
                runMember(i);
            }
            while (!m_messages.empty() && m_messages.front().due <= m_now) {
                const auto message = m_messages.front();
                m_messages.pop_front();
                take(message.to, message.reading);
            }
        }
    }

    // Changes the store; returns the time until a member notices, or the limit.
    Milliseconds timeToNotice(Milliseconds limit)
    {
        const auto begin = m_now;
        const auto changed = ++storeVersion;
        const auto noticed = [&] { return std::any_of(m_members.begin(), m_members.end(), [&](const Member &member) { return member.version >= changed; }); };
        while (!noticed() && m_now - begin < limit) {
            run(Step);
        }
        return std::chrono::duration_cast<Milliseconds>(m_now - begin);
    }

    double checksPerSecond(Milliseconds time)
    {
        const auto before = checks;
        run(time);
        return static_cast<double>(checks - before) * 1000 / static_cast<double>(time.count());
    }

    std::vector<MemberRecord> records;
    std::vector<MemberRecord> watchers;
    // Whether the store serves the member; a member that it doesn't gets no response, or a rejection.
    std::function<bool(std::size_t)> isServed = [](std::size_t) { return true; };
    bool rejectsAtOnce = true;
    std::uint64_t storeVersion = 1;
    std::uint64_t checks = 0;
    std::uint64_t messages = 0;

private:
    struct Member
    {
        explicit Member(StoreFreshness::Options options)
            : freshness(std::move(options))
        {
        }

        StoreFreshness freshness;
        std::uint64_t version = 0;
        std::optional<TimePoint> checkEnds;
        bool served = false;
        std::uint64_t checkedVersion = 0;
        TimePoint checkBegan;
    };

    struct Message
    {
        TimePoint due;
        std::size_t to;
        StoreReading reading;
    };

    void runMember(std::size_t i)
    {
        auto &member = m_members[i];
        if (member.checkEnds && *member.checkEnds <= m_now) {
            member.checkEnds.reset();
            if (member.served) {
                member.version = std::max(member.version, member.checkedVersion);
                member.freshness.checkSucceeded(m_now);
                const auto age = std::chrono::duration_cast<Milliseconds>(m_now - member.checkBegan);
                const StoreReading reading{
                    .version = ObjectVersion(member.checkedVersion), .reader = records[i].name, .ageMs = static_cast<std::uint32_t>(age.count())};
                take(i, reading);
            } else {
                member.freshness.checkFailed(m_now);
            }
        }
        // Members tick at different times.
        const bool ticks = (m_now.time_since_epoch() / Step + static_cast<std::int64_t>(i * 7)) % (TickInterval / Step) == 0;
        if (ticks && member.freshness.startCheck(m_now)) {
            ++checks;
            member.served = isServed(i);
            member.checkBegan = m_now;
            member.checkedVersion = storeVersion;
            member.checkEnds = m_now + (member.served || rejectsAtOnce ? Delay : CheckTimeout);
        }
    }

    void take(std::size_t i, const StoreReading &reading)
    {
        auto &member = m_members[i];
        member.version = std::max(member.version, reading.version.value());
        if (!member.freshness.update(reading, m_now)) {
            return;
        }
        const auto passedOn = member.freshness.last(m_now);
        for (const auto &recipient : member.freshness.recipients(reading.reader == records[i].name, m_now)) {
            ++messages;
            if (std::uniform_real_distribution<>()(m_random) >= m_loss) {
                m_messages.push_back({m_now + Delay, m_index.at(recipient), *passedOn});
            }
        }
    }

    TimePoint m_now = TimePoint(std::chrono::hours(1));
    double m_loss;
    std::mt19937_64 m_random;
    std::deque<Member> m_members;
    std::map<Endpoint, std::size_t> m_index;
    std::deque<Message> m_messages;
};

}

// Guards against watches that say nothing: a check by any member notices the change.
BOOST_AUTO_TEST_CASE(AChangeIsNoticedWithoutAWatch)
{
    for (const auto &[dataCentres, members] : {std::pair(4, 3), std::pair(3, 27), std::pair(2, 150)}) {
        FreshnessFleet fleet(dataCentres, members);
        fleet.run(SettleTime);
        for (int change = 0; change < 20; ++change) {
            BOOST_TEST(fleet.timeToNotice(SettleTime).count() <= NoticeLimit.count());
            fleet.run(Milliseconds(370));
        }
    }
}

// Guards against a fleet whose watchers the store rejects, at once or by silence.
BOOST_AUTO_TEST_CASE(AChangeIsNoticedIfTheStoreServesNoWatcher)
{
    for (const bool atOnce : {true, false}) {
        FreshnessFleet fleet(2, 40);
        fleet.rejectsAtOnce = atOnce;
        fleet.run(SettleTime);
        fleet.isServed = [&fleet](std::size_t member) { return !fleet.isWatcher(member); };
        fleet.run(Milliseconds(5000));
        for (int change = 0; change < 20; ++change) {
            BOOST_TEST(fleet.timeToNotice(SettleTime).count() <= NoticeLimit.count());
            fleet.run(Milliseconds(970));
        }
    }
}

// Guards against a fleet that the rejected members of one data centre, and half of the others, keep behind.
BOOST_AUTO_TEST_CASE(AChangeIsNoticedIfFewMembersAreServed)
{
    FreshnessFleet fleet(2, 40);
    fleet.run(SettleTime);
    fleet.isServed = [&fleet](std::size_t member) { return !fleet.isWatcher(member) && member % 4 == 1; };
    fleet.run(Milliseconds(5000));
    for (int change = 0; change < 20; ++change) {
        BOOST_TEST(fleet.timeToNotice(SettleTime).count() <= NoticeLimit.count());
        fleet.run(Milliseconds(970));
    }
}

// Guards against checks that grow with the fleet: the store counts and limits its calls.
BOOST_AUTO_TEST_CASE(TheNumberOfChecksDoesNotGrowWithTheFleet)
{
    for (const auto &[dataCentres, members] : {std::pair(4, 3), std::pair(3, 27), std::pair(2, 550)}) {
        FreshnessFleet fleet(dataCentres, members, 0.01);
        fleet.run(SettleTime);
        const auto before = fleet.messages;
        const auto rate = fleet.checksPerSecond(SettleTime);
        const auto messagesPerMember = static_cast<double>(fleet.messages - before) * 1000 / static_cast<double>(SettleTime.count() * fleet.records.size());
        BOOST_TEST_MESSAGE(fmt::format("{} members: {:.2f} checks/s, {:.2f} messages/s for each member", fleet.records.size(), rate, messagesPerMember));
        BOOST_TEST(rate <= 3.0);
        BOOST_TEST(messagesPerMember <= 3.0);
    }
}

// Guards against a storm of calls on a store that is down for all members.
BOOST_AUTO_TEST_CASE(FewMembersCheckAStoreThatIsDown)
{
    FreshnessFleet fleet(2, 550);
    fleet.run(SettleTime);
    fleet.isServed = [](std::size_t) { return false; };
    const auto before = fleet.checks;
    fleet.run(SettleTime);
    BOOST_TEST(fleet.checks - before <= 500U);
    fleet.isServed = [](std::size_t) { return true; };
    fleet.run(SettleTime);
    BOOST_TEST(fleet.checksPerSecond(SettleTime) <= 3.0);
}

// Guards against a stand-in that goes on beside watchers that read the store again.
BOOST_AUTO_TEST_CASE(AStandInEndsOnceAWatcherReadsTheStore)
{
    MemberRecord self;
    self.name = NodeName("member");
    self.dataCentre = DataCentre("dc");
    self.linkMbps = 1;
    MemberRecord watcher = self;
    watcher.name = NodeName("watcher");
    watcher.linkMbps = 100;
    const TimePoint begin(std::chrono::hours(1));
    StoreFreshness freshness({.self = self, .watchers = 1, .started = begin});
    std::vector<MemberRecord> live{self};
    for (int i = 0; i < 8; ++i) {
        watcher.name = NodeName(fmt::format("watcher-{}", i));
        watcher.dataCentre = DataCentre(fmt::format("dc-{}", i));
        live.push_back(watcher);
    }
    watcher.dataCentre = self.dataCentre;
    watcher.name = NodeName("watcher");
    live.push_back(watcher);
    freshness.setMembers(live);
    BOOST_REQUIRE(!freshness.startCheck(begin));
    const auto later = begin + Milliseconds(5000);
    for (const auto time : {later - Milliseconds(1000), later}) {
        BOOST_REQUIRE(freshness.startCheck(time));
        BOOST_TEST(!freshness.standsIn(time));
        freshness.checkSucceeded(time);
    }
    BOOST_TEST(freshness.standsIn(later));
    BOOST_TEST(freshness.standsIn(later + Milliseconds(10500)));
    freshness.update({.reader = NodeName("watcher")}, later + Milliseconds(20000));
    BOOST_TEST(!freshness.standsIn(later + Milliseconds(20600)));
}
