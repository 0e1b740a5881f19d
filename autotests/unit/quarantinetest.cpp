#include "core/quarantine/quarantine.h"
#include "adapters/codec/binarycodec.h"
#include "core/quarantine/requestdigest.h"
#include "core/quarantine/suspecttarget.h"
#include "core/quarantine/targetenddetector.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

using namespace Galenahill;

namespace {

const TimePoint Now(std::chrono::hours(1000));
const RequestDigest First(1);
const RequestDigest Second(2);

TargetEnd makeEnd(std::uint64_t id, const std::string &node, const std::vector<RequestDigest> &digests)
{
    TargetEnd end{.id = TargetEndId(id), .node = NodeName(node), .service = ServiceName("ventas"), .version = TargetVersion("v1")};
    for (const auto &digest : digests) {
        end.suspects.push_back({.digest = digest});
    }
    return end;
}

MemberRecord makeMember(int number)
{
    MemberRecord member;
    member.name = NodeName("n" + std::to_string(number));
    member.service = ServiceName("ventas");
    member.address = "10.0.0." + std::to_string(number);
    member.controlPort = 8084;
    return member;
}

}

BOOST_AUTO_TEST_SUITE(requestdigest)

// Guards against repeats that are not recognised because of their ids, ports or the case of the host.
BOOST_AUTO_TEST_CASE(CoversTheContentOnly)
{
    const auto digest = digestOf({.method = "GET", .host = "pedidos.example", .target = "/cola/1?x=2", .body = ""});
    BOOST_TEST(digest == digestOf({.method = "GET", .host = "Pedidos.EXAMPLE", .target = "/cola/1?x=2", .body = ""}));
    const std::set<RequestDigest> others = {digestOf({.method = "PUT", .host = "pedidos.example", .target = "/cola/1?x=2", .body = ""}),
        digestOf({.method = "GET", .host = "pedidos.exampl", .target = "e/cola/1?x=2", .body = ""}),
        digestOf({.method = "GET", .host = "pedidos.example", .target = "/cola/1?x=3", .body = ""}),
        digestOf({.method = "GET", .host = "pedidos.example", .target = "/cola/1?x=2", .body = "a"}),
        digestOf({.method = "GET", .host = "pedidos.example", .target = "/cola/1?x=2", .body = "", .streamedLength = 0})};
    BOOST_TEST(others.size() == 5U);
    BOOST_TEST(!others.contains(digest));
}

BOOST_AUTO_TEST_CASE(ParsesWhatItFormats)
{
    const RequestDigest digest(0x00ab12cd34ef5678);
    BOOST_TEST(toString(digest) == "00ab12cd34ef5678");
    BOOST_TEST((parseDigest(toString(digest)) == digest));
    for (const auto *text : {"", "00ab12cd34ef567", "00ab12cd34ef56789", "00ab12cd34ef567g", "-0ab12cd34ef5678"}) {
        BOOST_TEST(!parseDigest(text).has_value(), text);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(targetenddetector)

BOOST_AUTO_TEST_CASE(RunningAndLostRequestsAreSuspects)
{
    TargetEndDetector detector;
    const auto lost = detector.started(First);
    detector.started(Second);
    BOOST_TEST(detector.lost(lost, Now));
    BOOST_TEST(detector.running() == 1U);
    BOOST_TEST((detector.takeSuspects(Now) == std::vector{First, Second}));
    BOOST_TEST(!detector.isPending(lost));
    BOOST_TEST(detector.takeSuspects(Now).empty());
}

// Guards against a response that a living target lost and that counts at its end much later.
BOOST_AUTO_TEST_CASE(LaterResponseSpeaksForALostRequest)
{
    TargetEndDetector detector;
    detector.lost(detector.started(First), Now);
    detector.answered(detector.started(Second), Now + Milliseconds(200));
    BOOST_TEST(detector.takeSuspects(Now + Milliseconds(300)).empty());
    // Read after the loss, but possibly sent before the end.
    detector.lost(detector.started(First), Now);
    detector.answered(detector.started(Second), Now + Milliseconds(20));
    BOOST_TEST((detector.takeSuspects(Now + Milliseconds(30)) == std::vector{First}));
}

// Guards against a read that all callers send and that is suspected at each end.
BOOST_AUTO_TEST_CASE(ContentThatWasJustAnsweredIsNoSuspect)
{
    TargetEndDetector detector;
    detector.answered(detector.started(First), Now);
    detector.started(First);
    detector.started(Second);
    BOOST_TEST((detector.takeSuspects(Now + Milliseconds(1000)) == std::vector{Second}));
    // The next process has answered nothing.
    detector.started(First);
    BOOST_TEST((detector.takeSuspects(Now + Milliseconds(1100)) == std::vector{First}));
}

// Guards against a request that hangs the target, is given up, and is forgotten when a watchdog ends the target.
BOOST_AUTO_TEST_CASE(AbandonedRequestIsASuspectForAWhile)
{
    TargetEndDetector detector;
    detector.abandoned(detector.started(First), Now);
    BOOST_TEST(detector.hasAbandoned(Now + Milliseconds(4900)));
    BOOST_TEST((detector.takeSuspects(Now + Milliseconds(4900)) == std::vector{First}));
    detector.abandoned(detector.started(First), Now);
    BOOST_TEST(!detector.hasAbandoned(Now + Milliseconds(5100)));
    BOOST_TEST(detector.takeSuspects(Now + Milliseconds(5100)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(quarantinetable)

BOOST_AUTO_TEST_CASE(SecondEndQuarantines)
{
    QuarantineTable table({});
    BOOST_TEST(table.add(makeEnd(1, "a", {First, Second}), Now));
    BOOST_TEST(!table.add(makeEnd(1, "a", {First, Second}), Now));
    BOOST_TEST((table.standing(First, Now) == RequestStanding::Suspect));
    BOOST_TEST(table.add(makeEnd(2, "b", {First}), Now));
    BOOST_TEST((table.standing(First, Now) == RequestStanding::Quarantined));
    BOOST_TEST((table.standing(Second, Now) == RequestStanding::Suspect));
    BOOST_TEST(table.endsOf(First, Now) == 2U);
    BOOST_TEST(table.recentEnds(ServiceName("ventas"), Milliseconds(1000), Now) == 2U);
}

// Guards against ends before a response that count together with ends after it, in whichever order reports arrive.
BOOST_AUTO_TEST_CASE(ResponseClearsTheEndsBefore)
{
    QuarantineTable table({});
    table.add(makeEnd(1, "a", {First}), Now);
    const auto cleared = table.clear(First, Now);
    BOOST_REQUIRE(cleared.size() == 1U);
    BOOST_TEST((table.standing(First, Now) == RequestStanding::Clear));
    table.add(makeEnd(2, "b", {First}), Now);
    BOOST_TEST((table.standing(First, Now) == RequestStanding::Suspect));
    QuarantineTable other({});
    other.add(makeEnd(1, "a", {First}), Now);
    other.add(makeEnd(2, "b", {First}), Now);
    BOOST_TEST((other.standing(First, Now) == RequestStanding::Quarantined));
    BOOST_TEST(other.add(cleared.front(), Now));
    BOOST_TEST((other.standing(First, Now) == RequestStanding::Suspect));
    BOOST_TEST(!other.add(makeEnd(1, "a", {First}), Now));
    BOOST_TEST((other.standing(First, Now) == RequestStanding::Suspect));
}

// Guards against the quarantine of a request by coincidence while many targets crash.
BOOST_AUTO_TEST_CASE(ManyOtherEndsAllowOneMore)
{
    QuarantineTable table({});
    for (std::uint64_t id = 10; id < 13; ++id) {
        table.add(makeEnd(id, "c", {RequestDigest(id)}), Now);
    }
    table.add(makeEnd(1, "a", {First}), Now);
    table.add(makeEnd(2, "b", {First}), Now);
    BOOST_TEST((table.standing(First, Now) == RequestStanding::Suspect));
    table.add(makeEnd(3, "d", {First}), Now);
    BOOST_TEST((table.standing(First, Now) == RequestStanding::Quarantined));
}

// Guards against several fatal requests that each end one more target because of the others.
BOOST_AUTO_TEST_CASE(EndsUnderAnotherFatalRequestAreNoChance)
{
    QuarantineTable table({});
    for (std::uint64_t id = 10; id < 13; ++id) {
        table.add(makeEnd(id, "c", {Second}), Now);
    }
    table.add(makeEnd(1, "a", {First}), Now);
    table.add(makeEnd(2, "b", {First}), Now);
    BOOST_TEST((table.standing(First, Now) == RequestStanding::Quarantined));
}

BOOST_AUTO_TEST_CASE(IsBoundedInAgeAndSize)
{
    QuarantineTable table({.holdTime = Milliseconds(1000), .capacity = 3});
    for (std::uint64_t id = 1; id <= 5; ++id) {
        table.add(makeEnd(id, "a", {RequestDigest(id)}), Now + Milliseconds(id));
    }
    BOOST_TEST(table.ends(Now).size() == 3U);
    BOOST_TEST((table.standing(RequestDigest(1), Now) == RequestStanding::Clear));
    BOOST_TEST((table.standing(RequestDigest(5), Now + Milliseconds(10)) == RequestStanding::Suspect));
    BOOST_TEST((table.standing(RequestDigest(5), Now + Milliseconds(2000)) == RequestStanding::Clear));
    table.expire(Now + Milliseconds(2000));
    BOOST_TEST(table.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(quarantine)

// Guards against reports of other processes, and reports that take more memory than an end can have.
BOOST_AUTO_TEST_CASE(DropsInvalidMessages)
{
    Quarantine node({.self = makeMember(0), .send = [](const Endpoint &, const QuarantineMessage &) {}});
    node.setMembers({makeMember(0), makeMember(1)});
    node.messageReceived(makeMember(2).control(), {.ends = {makeEnd(1, "a", {First})}}, Now);
    auto oversized = makeEnd(2, "a", {});
    oversized.suspects.resize(1000);
    node.messageReceived(makeMember(1).control(), {.ends = {oversized}}, Now);
    node.messageReceived(makeMember(1).control(), {.ends = {makeEnd(3, std::string(1000, 'a'), {First})}}, Now);
    BOOST_TEST(node.counts().messagesDropped == 3U);
    BOOST_TEST(node.table().empty());
}

// Guards against a restarted node that hears of a quarantined request only with its next end.
BOOST_AUTO_TEST_CASE(AsksTheOthersAfterItsStart)
{
    std::vector<QuarantineMessage> sent;
    Quarantine knowing({.self = makeMember(0), .send = [&](const Endpoint &, const QuarantineMessage &message) { sent.push_back(message); }});
    knowing.setMembers({makeMember(0), makeMember(1)});
    knowing.targetEnded(TargetVersion("v1"), {First}, Now);
    sent.clear();
    Quarantine started({.self = makeMember(1),
        .send = [&](const Endpoint &, const QuarantineMessage &message) { knowing.messageReceived(makeMember(1).control(), message, Now); }});
    started.setMembers({makeMember(0), makeMember(1)});
    started.tick(Now);
    BOOST_REQUIRE(sent.size() == 1U);
    const auto decoded = decodeQuarantineMessage(encode(sent.front()));
    BOOST_REQUIRE(decoded.has_value());
    started.messageReceived(makeMember(0).control(), *decoded, Now);
    BOOST_TEST((started.table().standing(First, Now) == RequestStanding::Suspect));
}

// Guards against messages that don't fit into a datagram.
BOOST_AUTO_TEST_CASE(MessagesFitIntoDatagrams)
{
    std::size_t largest = 0;
    std::size_t reported = 0;
    Quarantine node({.self = makeMember(0), .send = [&](const Endpoint &, const QuarantineMessage &message) {
                         largest = std::max(largest, encode(message).size());
                         reported += message.ends.size();
                     }});
    node.setMembers({makeMember(0), makeMember(1)});
    for (std::uint64_t i = 0; i < 100; ++i) {
        std::vector<RequestDigest> digests;
        for (std::uint64_t j = 0; j < 200; ++j) {
            digests.emplace_back(i * 1000 + j);
        }
        node.targetEnded(TargetVersion("v1"), digests, Now);
    }
    reported = 0;
    node.messageReceived(makeMember(1).control(), {.wantsAll = true}, Now);
    BOOST_TEST(reported == 100U);
    BOOST_TEST(largest <= 8192U);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against copies of a suspect that run at two targets, and against the target that it has ended.
BOOST_AUTO_TEST_CASE(SuspectHasOneTarget)
{
    std::vector<MemberRecord> targets = {makeMember(0), makeMember(1), makeMember(2), makeMember(3)};
    const auto *target = targetForSuspect(First, targets, {});
    BOOST_REQUIRE(target != nullptr);
    const auto name = target->name;
    std::reverse(targets.begin(), targets.end());
    BOOST_TEST(targetForSuspect(First, targets, {})->name == name);
    BOOST_TEST(targetForSuspect(First, targets, {name})->name != name);
    BOOST_TEST(targetForSuspect(First, {makeMember(1)}, {makeMember(1).name})->name == makeMember(1).name);
    BOOST_TEST(targetForSuspect(First, {}, {}) == nullptr);
}
