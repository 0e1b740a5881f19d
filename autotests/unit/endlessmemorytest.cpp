// Memory that a node uses for peers that send bytes without end, which it counts on the heap of the whole program.

#include "brokenresponseserver.h"
#include "daemon/fleetquery.h"
#include "daemon/targetprobe.h"
#include "heapcounter.h"
#include "httptest.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;
using Galenahill::Test::BrokenResponse;
using Galenahill::Test::BrokenResponseServer;

namespace {

constexpr std::size_t Peers = 32;
constexpr Milliseconds TimeLimit{700};

// Of one peer: a body up to the limit, three times while a string of that length doubles its capacity, and the buffers of the
// connection and of the stand-in.
constexpr std::int64_t BytesPerPeer = 3 * static_cast<std::int64_t>(MaxHealthCheckBytes) + 256 * 1024;

const std::vector<BrokenResponse> Endless = {
    {.repeated = "letters"},
    {.bytes = "HTTP/1.1 200 OK\r\n", .repeated = "X-More: yes\r\n"},
    {.bytes = "HTTP/1.1 200 OK\r\n\r\n", .repeated = "body"},
    {.bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", .repeated = "4\r\nbody\r\n"},
    {.bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;", .repeated = "extension"},
    {.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n", .repeated = "body"},
    {.repeated = "HTTP/1.1 102 Processing\r\n\r\n"},
};

std::int64_t peakSince(std::int64_t before)
{
    return HeapCounter::peakBytes - before;
}

}

// Guards against a health check that keeps all that a target sends.
BOOST_AUTO_TEST_CASE(HealthCheckOfAnEndlessResponseIsBounded)
{
    for (const auto &response : Endless) {
        const BrokenResponseServer target({testAddress(46), 0}, response);
        asio::io_context context;
        // The limit of the node's client for bodies that are passed on.
        HttpClient client(context, {.maxBodyBytes = std::uint64_t(1) << 30});
        bool wasReady = false;
        TargetProbe probe({.context = context,
            .client = client,
            .target = target.endpoint(),
            .path = "/health",
            .stopped = [&] { return target.requests() > 0; },
            .changed = [&](MemberState state) { wasReady = wasReady || state == MemberState::Ready; }});
        const auto before = HeapCounter::resetPeak();
        asio::co_spawn(context, probe.run(), asio::detached);
        context.run();
        BOOST_TEST(!wasReady, response.bytes + response.repeated);
        BOOST_TEST(peakSince(before) < BytesPerPeer, response.bytes + response.repeated);
    }
}

// Guards against a query of the fleet that keeps all that many peers send.
BOOST_AUTO_TEST_CASE(QueryOfEndlessPeersIsBounded)
{
    for (const auto &response : Endless) {
        std::vector<std::unique_ptr<BrokenResponseServer>> peers;
        std::vector<MemberRecord> members;
        for (std::size_t i = 0; i < Peers; ++i) {
            peers.push_back(std::make_unique<BrokenResponseServer>(Endpoint{testAddress(46), 0}, response));
            MemberRecord member{.name = NodeName("n" + std::to_string(i)), .address = peers.back()->endpoint().address};
            member.controlPort = peers.back()->endpoint().port;
            member.state = MemberState::Ready;
            members.push_back(member);
        }
        const auto before = HeapCounter::resetPeak();
        const auto answers = queryFleet(members, "/status", TimeLimit);
        for (const auto &answer : answers) {
            BOOST_TEST(!answer.body.has_value());
        }
        BOOST_TEST(peakSince(before) < static_cast<std::int64_t>(Peers) * BytesPerPeer, response.bytes + response.repeated);
    }
}

// Guards against calls whose responses are kept while their callers don't read them.
BOOST_AUTO_TEST_CASE(EndlessResponsesToStreamingReadersAreBounded)
{
    constexpr std::int64_t BytesPerCall = 512 * 1024;
    for (const auto &response : Endless) {
        const BrokenResponseServer target({testAddress(46), 0}, response);
        asio::io_context context;
        HttpClient client(context, {.maxBodyBytes = std::uint64_t(1) << 30});
        const auto before = HeapCounter::resetPeak();
        for (std::size_t i = 0; i < Peers; ++i) {
            asio::co_spawn(
                context,
                [&]() -> asio::awaitable<void> {
                    HttpRequest request(http::verb::get, "/", 11);
                    request.set(http::field::host, "h");
                    std::unique_ptr<BodySource> rest;
                    HttpClient::ExchangeOptions options;
                    options.responseBody = &rest;
                    (void)co_await client.exchange(target.endpoint(), request, Clock::now() + TimeLimit, options);
                    asio::steady_timer timer(context, TimeLimit);
                    co_await timer.async_wait(asio::use_awaitable);
                },
                asio::detached);
        }
        context.run();
        BOOST_TEST(peakSince(before) < static_cast<std::int64_t>(Peers) * BytesPerCall, response.bytes + response.repeated);
    }
}
