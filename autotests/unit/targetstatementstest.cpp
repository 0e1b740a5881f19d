#include "daemon/calls/targetstatements.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace Galenahill;

namespace {

struct Fixture
{
    static CallHeaderNames headerNames()
    {
        CallHeaderNames names;
        names.rateLimit = "Rate";
        names.leaving = "Leaving";
        return names;
    }

    TargetStatements statements{{.headerNames = headerNames(),
        .log = [this](LogLevel, std::string_view event, const std::vector<LogField> &) { events.emplace_back(event); },
        .rateLimitRead = [this](std::optional<CallsPerSecond> limit, TimePoint) { limits.push_back(limit ? limit->value() : -1); },
        .leavingRead = [this] { ++departures; }}};

    void respond(const std::vector<std::pair<std::string, std::string>> &fields)
    {
        HttpResponse response(http::status::ok, 11);
        for (const auto &[name, value] : fields) {
            response.set(name, value);
        }
        statements.read(response, "t", TimePoint());
    }

    std::ptrdiff_t count(const std::string &event) const
    {
        return std::count(events.begin(), events.end(), event);
    }

    std::vector<std::string> events;
    std::vector<double> limits;
    int departures = 0;
};

}

BOOST_FIXTURE_TEST_SUITE(targetstatements, Fixture)

// Guards against a limit that a response without it does not lift.
BOOST_AUTO_TEST_CASE(ReadsALimitAndItsAbsence)
{
    respond({{"rate", "6.5"}});
    respond({});
    BOOST_TEST(limits == std::vector<double>({6.5, -1}), boost::test_tools::per_element());
    BOOST_TEST(departures == 0);
}

// Guards against a malformed value that lifts a limit, makes a target leave, or fills the log.
BOOST_AUTO_TEST_CASE(IgnoresMalformedValuesAndLogsEachOnce)
{
    for (int i = 0; i < 3; ++i) {
        respond({{"Rate", "-1"}});
    }
    respond({{"Rate", std::string(10000, '9')}});
    BOOST_TEST(limits.empty());
    BOOST_TEST(count("target-field-invalid") == 2);
    respond({{"Leaving", "yes"}});
    BOOST_TEST(departures == 0);
    BOOST_TEST(count("target-field-invalid") == 3);
}

BOOST_AUTO_TEST_CASE(ReadsThatTheTargetLeaves)
{
    respond({{"Leaving", "1"}});
    BOOST_TEST(departures == 1);
}

// Guards against a statement that is dropped without a trace, as no module knows its name.
BOOST_AUTO_TEST_CASE(LogsAFieldThatNoModuleReadsOnce)
{
    respond({{"Some-Statement", "1"}, {"Rate", "1"}});
    respond({{"Some-Statement", "2"}, {"Content-Type", "text/plain"}});
    BOOST_TEST(count("target-field-ignored") == 1);
}

BOOST_AUTO_TEST_SUITE_END()
