// Guards against datagram loops. Two members that misidentify each other, or know too little of
// each other, answer datagram for datagram. No timer limits the rate, so such a pair saturates the
// link and both CPUs for as long as both live.

#include "core/fleet/membership.h"

#include <boost/test/unit_test.hpp>
#include <deque>

using namespace Galenahill;

namespace {

const Endpoint FirstEndpoint{"10.0.0.1", 7620};
const Endpoint SecondEndpoint{"10.0.0.2", 7620};

// Far more than two members need to learn of each other, far fewer than a loop sends in a second.
constexpr int MaxDatagrams = 40;

MemberRecord record(const std::string &name, const Endpoint &control, std::uint64_t incarnation, MemberState state = MemberState::Ready)
{
    MemberRecord record;
    record.name = NodeName(name);
    record.dataCentre = DataCentre("lk-west-a");
    record.service = ServiceName("members");
    record.address = control.address;
    record.controlPort = control.port;
    record.sidecarPort = 8081;
    record.incarnation = incarnation;
    record.state = state;
    return record;
}

struct Datagram
{
    Endpoint from;
    Endpoint to;
    GossipMessage message;
};

// Two members on a lossless network that counts the datagrams it delivers.
struct Pair
{
    Membership make(const MemberRecord &self)
    {
        Membership::Options options;
        options.self = self;
        options.send = [this, from = self.control()](const Endpoint &to, const GossipMessage &message) { inFlight.push_back({from, to, message}); };
        options.changed = [] {};
        options.revisionAdvertised = [](const Endpoint &, Revision) {};
        options.revision = [] { return Revision(1); };
        return Membership(options);
    }

    // Delivers pending datagrams and the replies to them, and returns how many.
    int deliver(Membership &first, Membership &second)
    {
        int delivered = 0;
        while (!inFlight.empty() && delivered < 2 * MaxDatagrams) {
            const auto datagram = inFlight.front();
            inFlight.pop_front();
            auto &receiver = datagram.to == FirstEndpoint ? first : second;
            receiver.receive(datagram.from, datagram.message, now);
            ++delivered;
        }
        return delivered;
    }

    static bool knows(const Membership &member, const std::string &name, MemberState state)
    {
        const auto records = member.records();
        return std::any_of(records.begin(), records.end(), [&](const auto &known) { return known.name == NodeName(name) && known.state == state; });
    }

    std::deque<Datagram> inFlight;
    TimePoint now = TimePoint() + std::chrono::hours(1);
};

}

// A VM was replaced, and its successor has its address. The other member still lists the former one
// there; it must attribute neither the successor's state nor the successor's Acks to the former
// one.
BOOST_AUTO_TEST_CASE(SuccessorAtAnAddressIsDistinguishedFromFormerMember)
{
    for (const auto former : {MemberState::Ready, MemberState::Gone, MemberState::Left}) {
        Pair pair;
        auto first = pair.make(record("a", FirstEndpoint, 1000));
        auto second = pair.make(record("z-successor", SecondEndpoint, 9000));
        first.merge({record("b-former", SecondEndpoint, 2000)}, pair.now);
        first.merge({record("b-former", SecondEndpoint, 2000, former)}, pair.now);
        first.merge({record("z-successor", SecondEndpoint, 9000)}, pair.now);
        second.merge({record("a", FirstEndpoint, 1000)}, pair.now);
        int delivered = 0;
        for (int tick = 0; tick < 20; ++tick) {
            pair.now += Milliseconds(100);
            first.tick(pair.now);
            second.tick(pair.now);
            delivered += pair.deliver(first, second);
        }
        BOOST_TEST(delivered <= MaxDatagrams);
        BOOST_TEST(Pair::knows(first, "z-successor", MemberState::Ready));
        BOOST_TEST(!Pair::knows(first, "b-former", MemberState::Ready));
    }
}

// A member that has left still answers while its last calls end. A member that doesn't know it
// requests its record, doesn't add a member that has left, and must not request the record again
// for each answer.
BOOST_AUTO_TEST_CASE(RecordOfMemberThatLeftIsNotRequestedRepeatedly)
{
    Pair pair;
    auto first = pair.make(record("a", FirstEndpoint, 1000));
    auto second = pair.make(record("b", SecondEndpoint, 2000));
    second.merge({record("a", FirstEndpoint, 1000)}, pair.now);
    second.setState(MemberState::Left, pair.now);
    int delivered = 0;
    for (int tick = 0; tick < 20; ++tick) {
        pair.now += Milliseconds(100);
        second.tick(pair.now);
        delivered += pair.deliver(first, second);
    }
    BOOST_TEST(delivered <= MaxDatagrams);
}
