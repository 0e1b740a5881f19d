#include "adapters/http/peersilence.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <sys/socket.h>
#include <unistd.h>

using namespace Galenahill;

namespace {

constexpr Milliseconds Limit{500};
constexpr Milliseconds Step{100};

TimePoint at(int milliseconds)
{
    return TimePoint() + std::chrono::hours(1) + Milliseconds(milliseconds);
}

// Updates the silence at each step from 0 to the end with the snapshot of that time; returns the time in
// milliseconds at which the peer counted as lost, or -1.
int lostAt(int end, const std::function<TcpSnapshot(int)> &snapshotAt)
{
    PeerSilence silence;
    for (int time = 0; time <= end; time += static_cast<int>(Step.count())) {
        auto snapshot = snapshotAt(time);
        snapshot.at = at(time);
        silence.update(snapshot);
        if (silence.lastsFor(Limit)) {
            return time;
        }
    }
    return -1;
}

}

// Guards against ending a connection to a reachable peer that doesn't read.
BOOST_AUTO_TEST_CASE(FullWindowWithAnsweredProbesIsNoLoss)
{
    BOOST_TEST(lostAt(10000, [](int) { return TcpSnapshot{.lastSent = at(-10), .lastReceived = at(-5)}; }) == -1);
    // Each probe is seen before its answer.
    BOOST_TEST(lostAt(10000, [](int time) {
        return TcpSnapshot{.unansweredProbes = time % 400 == 0 ? 1U : 0U, .lastSent = at(-10), .lastReceived = at(time - time % 400 - 390)};
    }) == -1);
}

// Guards against ending a connection because a single probe was lost on the way.
BOOST_AUTO_TEST_CASE(SingleUnansweredProbeIsNoLoss)
{
    BOOST_TEST(lostAt(3000, [](int) { return TcpSnapshot{.unansweredProbes = 1, .lastSent = at(-10), .lastReceived = at(-5)}; }) == -1);
}

// Guards against waiting until the deadline for a peer that is lost with a full window.
BOOST_AUTO_TEST_CASE(UnansweredProbesAreALoss)
{
    BOOST_TEST(
        lostAt(3000, [](int time) { return TcpSnapshot{.unansweredProbes = time < 400 ? 1U : 2U, .lastSent = at(-10), .lastReceived = at(-5)}; }) == 500);
}

// Guards against waiting until the deadline for a peer that is lost after a request was sent.
BOOST_AUTO_TEST_CASE(UnansweredRetransmissionsAreALoss)
{
    BOOST_TEST(lostAt(3000, [](int time) {
        const bool repeated = time >= 200;
        return TcpSnapshot{.unackedSegments = 3, .retransmissions = repeated ? 1U : 0U, .lastSent = at(repeated ? 200 : 0), .lastReceived = at(-5000)};
    }) == 700);
}

// Guards against counting the idle time before a request.
BOOST_AUTO_TEST_CASE(IdleConnectionThatHasJustSentIsNoLoss)
{
    BOOST_TEST(lostAt(0, [](int) { return TcpSnapshot{.unackedSegments = 1, .retransmissions = 1, .lastSent = at(0), .lastReceived = at(-20000)}; }) == -1);
    BOOST_TEST(lostAt(200, [](int time) {
        return TcpSnapshot{.unackedSegments = time < 200 ? 1U : 0U, .lastSent = at(0), .lastReceived = at(time < 200 ? -20000 : 150)};
    }) == -1);
}

// Guards against ending a slow connection that loses segments but makes progress.
BOOST_AUTO_TEST_CASE(ProgressIsNoLoss)
{
    BOOST_TEST(lostAt(10000, [](int time) {
        const int acknowledged = time - time % 400;
        return TcpSnapshot{.unackedSegments = 5, .retransmissions = 1, .lastSent = at(time), .lastReceived = at(acknowledged)};
    }) == -1);
}

// Guards against taking the time in which this process had no processor for silence of the peer.
BOOST_AUTO_TEST_CASE(TimeBeforeALateCheckIsNoLoss)
{
    const auto snapshot
        = [](int time) { return TcpSnapshot{.at = at(time), .unackedSegments = 1, .retransmissions = 1, .lastSent = at(200), .lastReceived = at(-5)}; };
    PeerSilence silence;
    silence.update(snapshot(300));
    silence.update(snapshot(2300));
    BOOST_TEST(!silence.lastsFor(Limit));
    silence.update(snapshot(2500));
    BOOST_TEST(!silence.lastsFor(Limit));
    silence.update(snapshot(2600));
    BOOST_TEST(silence.lastsFor(Limit));
}

// Guards against ending a connection before the answer to a second probe or retransmission can have arrived.
BOOST_AUTO_TEST_CASE(RepetitionThatWasJustSentIsNoLoss)
{
    BOOST_TEST(
        lostAt(1000, [](int time) { return TcpSnapshot{.unansweredProbes = time < 1000 ? 1U : 2U, .lastSent = at(-10), .lastReceived = at(-5)}; }) == -1);
    BOOST_TEST(lostAt(700, [](int time) {
        const auto retransmissions = time < 200 ? 0U : time < 700 ? 1U : 2U;
        return TcpSnapshot{.unackedSegments = 1, .retransmissions = retransmissions, .lastSent = at(time < 700 ? 200 : 690), .lastReceived = at(-5)};
    }) == -1);
}

// Guards against ending a connection whose peer has answered the last retransmission without reading it.
BOOST_AUTO_TEST_CASE(AnsweredRetransmissionIsNoLoss)
{
    BOOST_TEST(lostAt(10000, [](int) { return TcpSnapshot{.unackedSegments = 1, .retransmissions = 3, .lastSent = at(-10), .lastReceived = at(-10)}; }) == -1);
}

// Guards against relying on TCP_INFO where the system doesn't provide it.
BOOST_AUTO_TEST_CASE(SocketThatIsNotAnEstablishedConnectionHasNoSnapshot)
{
    for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
        const int socket = ::socket(AF_INET, type, 0);
        BOOST_TEST(!readTcpSnapshot(socket).has_value());
        ::close(socket);
    }
}
