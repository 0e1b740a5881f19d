#include "cli/calltrace.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

using namespace Galenahill;

namespace {

// Log lines of two nodes, some with a prefix before the JSON object as a log collector adds it.
const char *const SidecarLog
    = "   3.5035 node-a {\"time_ms\":1503,\"level\":\"info\",\"node\":\"node-a\",\"event\":\"sidecar-refused\",\"id\":\"2a28\",\"reason\":\"no slot "
      "in time\",\"running\":6,\"slots\":6}\n"
      "   3.5040 node-a {\"time_ms\":1504,\"node\":\"node-a\",\"event\":\"sidecar-refused\",\"id\":\"2a28ff\",\"reason\":\"another call\"}\n";
const char *const IngressLog = "{\"time_ms\":1672,\"node\":\"node-b\",\"event\":\"call-answered\",\"id\":\"2a28\",\"status\":200,\"reason\":\"\"}\n"
                               "{\"time_ms\":1600,\"node\":\"node-b\",\"event\":\"call-refused\",\"id\":\"2a28.77\",\"status\":503}\n"
                               "not a line of ours\n"
                               "{\"time_ms\":1601,\"node\":\n";

CallTrace traceOf(const std::string &id)
{
    CallTrace trace(id);
    for (const auto *log : {IngressLog, SidecarLog}) {
        std::istringstream stream(log);
        trace.read(stream);
    }
    return trace;
}

}

// Logs are read node by node; the lines of the call and of its nested calls come out in order of time.
BOOST_AUTO_TEST_CASE(OrdersLinesOfACallAcrossNodes)
{
    const auto json = traceOf("2a28").json();
    BOOST_REQUIRE(json.at("lines").size() == 3U);
    BOOST_TEST(json.at("lines").at(0).at("event") == "sidecar-refused");
    BOOST_TEST(json.at("lines").at(1).at("id") == "2a28.77");
    BOOST_TEST(json.at("lines").at(2).at("event") == "call-answered");
    const auto table = traceOf("2a28").table();
    BOOST_TEST(table.find("reason=no slot in time running=6 slots=6") != std::string::npos);
    BOOST_TEST(table.find("     169  node-b") != std::string::npos);
}

// An id that only starts with the same characters belongs to another call.
BOOST_AUTO_TEST_CASE(LeavesOutOtherCalls)
{
    BOOST_TEST(traceOf("2a28").table().find("another call") == std::string::npos);
    BOOST_TEST(traceOf("2a").empty());
}

BOOST_AUTO_TEST_CASE(CountsUnreadableLines)
{
    BOOST_TEST(traceOf("2a28").unreadableLines() == 2U);
    BOOST_TEST(traceOf("2a28").table().find("2 log lines could not be parsed") != std::string::npos);
}

// Guards against lines of a call in reverse order: the clock of the sidecar's VM is an hour ahead.
BOOST_AUTO_TEST_CASE(OrdersLinesDespiteDifferingClocks)
{
    CallTrace trace("7f");
    std::istringstream ingress("{\"time_ms\":5000,\"up_ms\":900,\"node\":\"node-b\",\"event\":\"call-answered\",\"id\":\"7f\",\"ms\":300.0}\n");
    std::istringstream sidecar("{\"time_ms\":3604800,\"up_ms\":700,\"node\":\"node-a\",\"event\":\"sidecar-refused\",\"id\":\"7f\"}\n");
    trace.read(ingress);
    trace.read(sidecar);
    const auto json = trace.json();
    BOOST_TEST(json.at("lines").at(0).at("event") == "sidecar-refused");
    BOOST_TEST(json.at("clock_corrections_ms").contains("node-a"));
    BOOST_TEST(trace.table().find("the clock of node-a differs from the clock of the ingress by at least 3599801 ms") != std::string::npos);
}

// Guards against reordered lines of one node whose wall clock steps, back or forth, between them.
BOOST_AUTO_TEST_CASE(OrdersLinesOfANodeDespiteClockSteps)
{
    for (const std::int64_t step : {-10000, 10000}) {
        CallTrace trace("7f");
        std::istringstream log("{\"time_ms\":50000,\"up_ms\":100,\"node\":\"node-a\",\"event\":\"sidecar-refused\",\"id\":\"7f\"}\n"
                               "{\"time_ms\":"
            + std::to_string(50200 + step) + ",\"up_ms\":300,\"node\":\"node-a\",\"event\":\"call-answered\",\"id\":\"7f\",\"ms\":250.0}\n");
        trace.read(log);
        BOOST_TEST(trace.json().at("lines").at(0).at("event") == "sidecar-refused");
        BOOST_TEST(trace.table().find("     200  node-a") != std::string::npos);
        BOOST_TEST(trace.table().find("the wall clock of node-a stepped 1 times") != std::string::npos);
    }
}

// The monotonic time of a restarted process starts from zero again.
BOOST_AUTO_TEST_CASE(RestartIsNoClockStep)
{
    CallTrace trace("7f");
    std::istringstream log("{\"time_ms\":50000,\"up_ms\":9000,\"node\":\"node-a\",\"event\":\"sidecar-refused\",\"id\":\"7f\"}\n"
                           "{\"time_ms\":52000,\"up_ms\":5,\"node\":\"node-a\",\"event\":\"sidecar-refused\",\"id\":\"7f\"}\n");
    trace.read(log);
    BOOST_TEST(trace.json().at("clock_steps").empty());
    BOOST_TEST(trace.table().find("    2000  node-a") != std::string::npos);
}

// Guards against a response that ended early without a trace of who ended it.
BOOST_AUTO_TEST_CASE(NamesWhoEndedAResponse)
{
    CallTrace trace("7f");
    std::istringstream log("{\"time_ms\":50000,\"up_ms\":9000,\"node\":\"node-a\",\"event\":\"response-ended-early\",\"id\":\"7f\",\"ended_by\":\"target\","
                           "\"reason\":\"End of file\",\"sent_bytes\":49152,\"bytes\":540000,\"backlog_bytes\":610000,\"missing_ms\":390,\"left_ms\":375}\n"
                           "{\"time_ms\":50010,\"up_ms\":5,\"node\":\"node-b\",\"event\":\"response-ended-early\",\"id\":\"7f\",\"ended_by\":\"ingress\","
                           "\"reason\":\"Broken pipe\",\"sent_bytes\":16384,\"left_ms\":20}\n"
                           "{\"time_ms\":50020,\"up_ms\":9020,\"node\":\"node-a\",\"event\":\"response-ended-early\",\"id\":\"7f\",\"ended_by\":\"deadline\","
                           "\"reason\":\"the call's deadline has passed\",\"sent_bytes\":16384,\"left_ms\":-20}\n");
    trace.read(log);
    const auto table = trace.table();
    BOOST_TEST(table.find("the response ended early at node-a: ended by the target after 49152 bytes of 540000 (End of file), 375 ms before the deadline; "
                          "the link's backlog was 610000 bytes, the rest would have taken 390 ms")
        != std::string::npos);
    BOOST_TEST(
        table.find("the response ended early at node-b: ended by the ingress after 16384 bytes (Broken pipe), 20 ms before the deadline") != std::string::npos);
    BOOST_TEST(table.find("ended by the deadline after 16384 bytes (the call's deadline has passed), 20 ms after the deadline") != std::string::npos);
}

namespace {

std::string connectionEnd(int timeMs, int port, const std::string &fields)
{
    return "{\"time_ms\":" + std::to_string(timeMs) + ",\"node\":\"node-b\",\"event\":\"connection-ended\",\"server\":\"ingress\",\"peer\":\"10.0.0.9\","
        + "\"peer_port\":" + std::to_string(port) + ",\"closed_first_by\":\"this node\",\"left_open\":false,\"requests_read\":3,\"requests_answered\":2,"
        + fields + "}\n";
}

}

// Guards against an explanation of an answered call that doesn't say whether the caller received the response.
BOOST_AUTO_TEST_CASE(SaysWhatTheCallersConnectionDidNotDeliver)
{
    CallTrace trace("7f");
    std::istringstream log(connectionEnd(4000, 5001, "\"last_answered_id\":\"3a\",\"unacknowledged_bytes\":11,\"unread_bytes\":0")
        + "{\"time_ms\":5000,\"node\":\"node-b\",\"event\":\"call-answered\",\"id\":\"7f\",\"caller\":\"10.0.0.9\",\"caller_port\":5001}\n"
        + connectionEnd(5010, 5002, "\"last_answered_id\":\"8c\",\"unacknowledged_bytes\":22,\"unread_bytes\":0")
        + connectionEnd(5020, 5001, "\"last_answered_id\":\"9d\",\"unacknowledged_bytes\":4096,\"unread_bytes\":80")
        + connectionEnd(5030, 5001, "\"last_answered_id\":\"\",\"unacknowledged_bytes\":33,\"unread_bytes\":0"));
    trace.read(log);
    BOOST_TEST(trace.json().at("connections").size() == 1U);
    BOOST_TEST(trace.table().find("\nthe connection of 10.0.0.9:5001 to the ingress node-b ended, closed first by this node: 3 requests read, 2 answered; "
                                  "4096 bytes sent last were not acknowledged by the peer's kernel; 80 bytes of the peer were not read, so the connection was "
                                  "reset")
        != std::string::npos);
}

// A call that is answered at once leaves no line of its own.
BOOST_AUTO_TEST_CASE(FindsTheConnectionWhoseLastAnsweredCallItWas)
{
    CallTrace trace("7f");
    std::istringstream log(connectionEnd(5020, 5001, "\"last_answered_id\":\"7f\",\"unacknowledged_bytes\":0,\"unread_bytes\":0"));
    trace.read(log);
    BOOST_TEST(!trace.empty());
    BOOST_TEST(trace.table().find("3 requests read, 2 answered, this call the last; the peer's kernel had acknowledged everything that was sent")
        != std::string::npos);
}
