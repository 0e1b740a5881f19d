#include "core/fleet/membership.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>

using namespace Galenahill;

namespace {

// Several members connected by an in-memory network. Time advances only in `run`.
class Network
{
public:
    explicit Network(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            Membership::Options options;
            options.self.name = NodeName("n" + std::to_string(i));
            options.self.address = "10.0.0." + std::to_string(i);
            options.self.controlPort = 1;
            options.self.incarnation = 1;
            options.seed = i;
            options.send = [this, i](const Endpoint &to, const GossipMessage &message) { m_inFlight.push_back({i, to, message}); };
            options.changed = [] {};
            options.revision = [] { return Revision(1); };
            options.revisionAdvertised = [](const Endpoint &, Revision) {};
            members.push_back(std::make_unique<Membership>(std::move(options)));
        }
        for (auto &member : members) {
            member->merge({members.front()->self()}, now);
        }
    }

    void run(Milliseconds time)
    {
        const auto until = now + time;
        while (now < until) {
            now += Milliseconds(50);
            for (std::size_t i = 0; i < members.size(); ++i) {
                if (!stopped[i]) {
                    members[i]->tick(now);
                }
            }
            deliver();
        }
    }

    MemberState stateSeenBy(std::size_t observer, std::size_t subject)
    {
        for (const auto &record : members[observer]->records()) {
            if (record.name == members[subject]->self().name) {
                return record.state;
            }
        }
        return MemberState::Gone;
    }

    std::vector<std::unique_ptr<Membership>> members;
    std::map<std::size_t, bool> stopped;
    TimePoint now = TimePoint() + std::chrono::hours(1);

private:
    struct Datagram
    {
        std::size_t from;
        Endpoint to;
        GossipMessage message;
    };

    void deliver()
    {
        while (!m_inFlight.empty()) {
            const auto datagram = m_inFlight.front();
            m_inFlight.pop_front();
            const auto receiver = std::stoul(datagram.to.address.substr(7));
            if (!stopped[receiver]) {
                members[receiver]->receive(members[datagram.from]->self().control(), datagram.message, now);
            }
        }
    }

    std::deque<Datagram> m_inFlight;
};

}

BOOST_AUTO_TEST_CASE(AllMembersLearnOfEachOther)
{
    Network network(20);
    network.run(Milliseconds(3000));
    for (const auto &member : network.members) {
        BOOST_TEST(member->live().size() == 20U);
    }
}

BOOST_AUTO_TEST_CASE(DrainingIsKnownEverywhereWithinASecond)
{
    Network network(30);
    network.run(Milliseconds(3000));
    network.members[7]->setState(MemberState::Draining, network.now);
    network.run(Milliseconds(1000));
    for (std::size_t i = 0; i < 30; ++i) {
        BOOST_TEST((network.stateSeenBy(i, 7) == MemberState::Draining));
    }
}

BOOST_AUTO_TEST_CASE(DeadMemberIsDeclaredGone)
{
    Network network(10);
    network.run(Milliseconds(3000));
    network.stopped[3] = true;
    network.run(Milliseconds(20000));
    for (std::size_t i = 0; i < 10; ++i) {
        if (i != 3) {
            BOOST_TEST((network.stateSeenBy(i, 3) == MemberState::Gone));
        }
    }
}

// A member is paused beyond the suspicion timeout and declared gone, then resumes. Unless it
// refutes this with a higher incarnation, its target gets no calls although it runs.
BOOST_AUTO_TEST_CASE(ResumedMemberRefutesBeingGone)
{
    Network network(10);
    network.run(Milliseconds(3000));
    network.stopped[3] = true;
    network.run(Milliseconds(20000));
    network.stopped[3] = false;
    network.run(Milliseconds(20000));
    for (std::size_t i = 0; i < 10; ++i) {
        BOOST_TEST((network.stateSeenBy(i, 3) == MemberState::Starting));
    }
}
