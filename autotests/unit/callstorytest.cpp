#include "cli/callstory.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

using namespace Galenahill;

namespace {

// Lines of two nodes as a played day printed them, with a column before each.
const char *const Door
    = "   3.5035 node-a {\"time_ms\":1503,\"level\":\"info\",\"node\":\"node-a\",\"event\":\"sidecar-refused\",\"id\":\"2a28\",\"reason\":\"no slot "
      "in time\",\"running\":6,\"slots\":6}\n"
      "   3.5040 node-a {\"time_ms\":1504,\"node\":\"node-a\",\"event\":\"sidecar-refused\",\"id\":\"2a28ff\",\"reason\":\"another call\"}\n";
const char *const Ingress = "{\"time_ms\":1672,\"node\":\"node-b\",\"event\":\"call-answered\",\"id\":\"2a28\",\"status\":200,\"reason\":\"\"}\n"
                            "{\"time_ms\":1600,\"node\":\"node-b\",\"event\":\"call-refused\",\"id\":\"2a28.77\",\"status\":503}\n"
                            "not a line of ours\n"
                            "{\"time_ms\":1601,\"node\":\n";

CallStory storyOf(const std::string &id)
{
    CallStory story(id);
    for (const auto *log : {Ingress, Door}) {
        std::istringstream stream(log);
        story.read(stream);
    }
    return story;
}

}

// The logs come node by node; the story is told in the order of time, with the
// calls that a target made for the one in question.
BOOST_AUTO_TEST_CASE(TellsACallInOrderAcrossNodes)
{
    const auto json = storyOf("2a28").json();
    BOOST_REQUIRE(json.at("lines").size() == 3U);
    BOOST_TEST(json.at("lines").at(0).at("event") == "sidecar-refused");
    BOOST_TEST(json.at("lines").at(1).at("id") == "2a28.77");
    BOOST_TEST(json.at("lines").at(2).at("event") == "call-answered");
    const auto table = storyOf("2a28").table();
    BOOST_TEST(table.find("reason=no slot in time running=6 slots=6") != std::string::npos);
    BOOST_TEST(table.find("     169  node-b") != std::string::npos);
}

// An id that only begins like another one is another call.
BOOST_AUTO_TEST_CASE(AnotherCallIsLeftOut)
{
    BOOST_TEST(storyOf("2a28").table().find("another call") == std::string::npos);
    BOOST_TEST(storyOf("2a").empty());
}

BOOST_AUTO_TEST_CASE(CountsWhatCannotBeRead)
{
    BOOST_TEST(storyOf("2a28").unreadable() == 2U);
    BOOST_TEST(storyOf("2a28").table().find("2 lines of the logs can't be read") != std::string::npos);
}

// Guards against lines of a call in reverse order: the sidecar's VM is an hour ahead.
BOOST_AUTO_TEST_CASE(ClocksThatDisagreeDontChangeTheOrder)
{
    CallStory story("7f");
    std::istringstream ingress("{\"time_ms\":5000,\"up_ms\":900,\"node\":\"node-b\",\"event\":\"call-answered\",\"id\":\"7f\",\"ms\":300.0}\n");
    std::istringstream door("{\"time_ms\":3604800,\"up_ms\":700,\"node\":\"node-a\",\"event\":\"sidecar-refused\",\"id\":\"7f\"}\n");
    story.read(ingress);
    story.read(door);
    const auto json = story.json();
    BOOST_TEST(json.at("lines").at(0).at("event") == "sidecar-refused");
    BOOST_TEST(json.at("clock_corrections_ms").contains("node-a"));
    BOOST_TEST(story.table().find("the clock of node-a is off by at least 3599801 ms") != std::string::npos);
}

// Guards against lines of one node that change places when its time of day steps
// back between them.
BOOST_AUTO_TEST_CASE(AStepBackLeavesTheOrderOfANodesLines)
{
    for (const std::int64_t step : {-10000, 10000}) {
        CallStory story("7f");
        std::istringstream log("{\"time_ms\":50000,\"up_ms\":100,\"node\":\"node-a\",\"event\":\"sidecar-refused\",\"id\":\"7f\"}\n"
                               "{\"time_ms\":"
            + std::to_string(50200 + step) + ",\"up_ms\":300,\"node\":\"node-a\",\"event\":\"call-answered\",\"id\":\"7f\",\"ms\":250.0}\n");
        story.read(log);
        BOOST_TEST(story.json().at("lines").at(0).at("event") == "sidecar-refused");
        BOOST_TEST(story.table().find("     200  node-a") != std::string::npos);
        BOOST_TEST(story.table().find("the time of day of node-a stepped 1 times") != std::string::npos);
    }
}

// A restarted process counts its steady time from zero again.
BOOST_AUTO_TEST_CASE(ARestartIsNoStep)
{
    CallStory story("7f");
    std::istringstream log("{\"time_ms\":50000,\"up_ms\":9000,\"node\":\"node-a\",\"event\":\"sidecar-refused\",\"id\":\"7f\"}\n"
                           "{\"time_ms\":52000,\"up_ms\":5,\"node\":\"node-a\",\"event\":\"sidecar-refused\",\"id\":\"7f\"}\n");
    story.read(log);
    BOOST_TEST(story.json().at("clock_steps").empty());
    BOOST_TEST(story.table().find("    2000  node-a") != std::string::npos);
}
