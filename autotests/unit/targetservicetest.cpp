#include "daemon/targetservice.h"

#include <boost/test/unit_test.hpp>
#include <deque>

using namespace Galenahill;

namespace {

const Endpoint TargetEndpoint{"127.0.0.1", 9};

TargetAnnouncement announcement(std::int64_t startedAt, std::uint64_t sequence)
{
    TargetAnnouncement target;
    target.id = "t";
    target.startedAt = startedAt;
    target.sequence = sequence;
    target.service = ServiceName("ventas");
    target.address = TargetEndpoint;
    return target;
}

// A target service on the fleet's first start, so that a target is ready without a health check.
struct Fixture
{
    TargetService service{{.context = context,
        .client = client,
        .registration = {.address = TargetEndpoint, .service = ServiceName("ventas"), .firstStart = true},
        .decode = [this](const HttpRequest &) -> Result<TargetMessage> { return announced; },
        .healthPath = [] { return "/health"; },
        .targetIdField = {},
        .log = [](LogLevel, std::string_view, const std::vector<LogField> &) {},
        .changed = [this](const TargetAnnouncement &target, MemberState state) { changes.emplace_back(target.startedAt, state); }}};

    void announce(const TargetAnnouncement &target)
    {
        announced = target;
        asio::co_spawn(
            context, [this]() -> asio::awaitable<void> { (void)co_await service.handle(HttpRequest()); }, asio::detached);
        context.restart();
        context.poll();
    }

    asio::io_context context{1};
    HttpClient client{context, {}};
    TargetMessage announced;
    std::vector<std::pair<std::int64_t, MemberState>> changes;
};

}

// Guards against a target that restarts under its id between two heartbeats and counts as the old
// process, with its connections, rate limit and service times.
BOOST_FIXTURE_TEST_CASE(ReportsARestartUnderTheSameId, Fixture)
{
    announce(announcement(1000, 5));
    announce(announcement(1000, 6));
    BOOST_TEST(changes.size() == 1U);
    announce(announcement(2000, 1));
    BOOST_REQUIRE(changes.size() == 2U);
    BOOST_TEST(changes.back().first == 2000);
    BOOST_TEST((changes.back().second == MemberState::Ready));
}

// Guards against a late response of the former process that makes its successor leave.
BOOST_FIXTURE_TEST_CASE(LeavingConcernsOneStartOfTheTarget, Fixture)
{
    announce(announcement(1000, 5));
    announce(announcement(2000, 1));
    service.targetLeaving("t", 1000);
    BOOST_TEST((service.state() == MemberState::Ready));
    service.targetLeaving("t", 2000);
    BOOST_TEST((service.state() == MemberState::Draining));
}
