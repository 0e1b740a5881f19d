// Planned work at nodes while calls are under way, with real processes. Each call whose request was read
// must be answered: completely if it ran, otherwise as not run.

#include "fleet.h"
#include "httptest.h"
#include "platformfleet.h"
#include "readanswer.h"
#include "sampledocument.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <future>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

using namespace Galenahill;

namespace {

constexpr const char *Host = "pedidos.example";
constexpr Milliseconds StartLimit{15000};
constexpr Milliseconds ServiceTime{2200};
constexpr Milliseconds SignalAfter{500};
constexpr Milliseconds GraceTime{6000};
constexpr Milliseconds LateInAStop{3300};
constexpr std::size_t ResponseBytes = 600000;
constexpr std::size_t UploadPieces = 5;
constexpr std::size_t PieceBytes = 20000;
constexpr int SmallReceiveBuffer = 2048;
constexpr std::size_t Ingress = 0;
constexpr std::size_t FirstSidecar = 1;
constexpr std::size_t Sidecars = 2;

std::string argument(int index)
{
    const auto &suite = boost::unit_test::framework::master_test_suite();
    BOOST_REQUIRE_MESSAGE(suite.argc > index, "give the build folder and the sources after --");
    return suite.argv[index];
}

std::string requestText(const std::string &method, const std::string &target, const std::string &id, std::size_t bodyBytes = 0)
{
    return fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nGalenahill-Request-Id: {}\r\nContent-Length: {}\r\n\r\n", method, target, Host, id, bodyBytes);
}

// Two nodes with slow targets, and an ingress whose own target serves another service.
struct Fixture
{
    Fixture()
        : fleet({.programs = argument(1),
            .sources = argument(2),
            .folder = argument(1) + "/plannedstop",
            .network = static_cast<std::uint8_t>(Fleet::defaultNetwork() + 14),
            .nodes = 1 + Sidecars,
            .services = {"portal", "ventas", "ventas"},
            .linkMbps = 8})
    {
        const auto started = fleet.start(document(1, routes(8)));
        BOOST_REQUIRE_MESSAGE(started.has_value(), started.error().message);
        const auto until = Clock::now() + StartLimit;
        int answered = 0;
        for (int round = 0; answered < 20; ++round) {
            BOOST_REQUIRE(Clock::now() < until);
            const auto answers = hold({requestText("GET", "/cola/1", fmt::format("first-{}", round))}, {fmt::format("first-{}", round)}).get();
            answered = answers.front().status == 200 ? answered + 1 : 0;
        }
        setServiceTime(ServiceTime);
    }

    static std::vector<SampleRoute> routes(double timeout)
    {
        return {{.name = "portal", .service = "portal"},
            {.name = "cola", .service = "ventas"},
            {.name = "espera", .service = "ventas", .timeoutSeconds = timeout, .objectiveSeconds = timeout * 7 / 8},
            {.name = "orden", .service = "ventas", .idempotent = false, .timeoutSeconds = timeout, .objectiveSeconds = timeout * 7 / 8},
            {.name = "bajada", .service = "ventas", .timeoutSeconds = timeout, .objectiveSeconds = timeout * 7 / 8, .largeResponses = true}};
    }

    static std::string document(int revision, const std::vector<SampleRoute> &routes)
    {
        return sampleDocument(argument(2), revision, Host, routes);
    }

    void setServiceTime(Milliseconds time) const
    {
        for (std::size_t i = 0; i < Sidecars; ++i) {
            BOOST_REQUIRE(fleet.instructTarget(FirstSidecar + i, fmt::format(R"({{"service_us": {}}})", time.count() * 1000)));
        }
    }

    // Sends the pieces on a connection of its own, and reads an answer for each id.
    std::future<std::vector<Answer>> hold(std::vector<std::string> pieces, std::vector<std::string> ids, Milliseconds pause = Milliseconds(0)) const
    {
        return std::async(std::launch::async, [=, endpoint = fleet.ingress(Ingress)] {
            RawClient caller(endpoint);
            for (const auto &piece : pieces) {
                caller.send(piece);
                std::this_thread::sleep_for(pause);
            }
            std::vector<Answer> answers;
            answers.reserve(ids.size());
            for (const auto &id : ids) {
                answers.push_back(readAnswer(caller, id));
            }
            return answers;
        });
    }

    void call(const std::string &method, const std::string &target, const std::string &id)
    {
        held.push_back(hold({requestText(method, target, id)}, {id}));
    }

    void upload(const std::string &id, Milliseconds pause)
    {
        std::vector<std::string> pieces(UploadPieces, std::string(PieceBytes, 'x'));
        pieces.insert(pieces.begin(), requestText("POST", "/orden/1", id, UploadPieces * PieceBytes));
        held.push_back(hold(std::move(pieces), {id}, pause));
    }

    // Takes all slots of both targets, so that the upload and two further calls wait for one.
    void holdCalls()
    {
        call("POST", "/orden/1", "unsafe");
        for (int i = 0; i < 4; ++i) {
            call("GET", "/espera/1", fmt::format("slow-{}", i));
        }
        for (int i = 0; i < 2; ++i) {
            call("GET", fmt::format("/bajada/1?bytes={}", ResponseBytes), fmt::format("large-{}", i));
        }
        held.push_back(hold({requestText("GET", "/espera/1", "ahead") + requestText("POST", "/orden/1", "pipelined")}, {"ahead", "pipelined"}));
        upload("upload", Milliseconds(150));
        std::this_thread::sleep_for(Milliseconds(250));
        call("GET", "/espera/1", "waiting-safe");
        call("POST", "/orden/1", "waiting-unsafe");
        std::this_thread::sleep_for(SignalAfter - Milliseconds(250));
    }

    // Whether the call was served, or rejected as not run.
    static bool isAnswered(const Answer &answer, std::ptrdiff_t executions, int rejection)
    {
        const bool served = answer.status == 200 && executions == 1;
        const bool rejected = (answer.status == 503 || answer.status == rejection) && answer.notRun && executions == 0;
        return answer.complete && (served || rejected);
    }

    // Checks all held calls; returns how many were served. `rejection` is a further status that calls
    // may get that did not run, and `late` a call whose route's timeout has passed.
    int checkAnswers(int rejection = 503, const std::string &late = {})
    {
        int served = 0;
        for (auto &call : held) {
            for (const auto &answer : call.get()) {
                const auto executed = fleet.executedCalls();
                const auto executions = std::count(executed.begin(), executed.end(), answer.id);
                const auto text
                    = fmt::format("{}: {}, {}, executed {} times", answer.id, answer.status, answer.complete ? "complete" : "incomplete", executions);
                BOOST_TEST_MESSAGE(text);
                const bool timedOut = answer.id == late && answer.status == 504 && answer.complete;
                BOOST_TEST((timedOut || isAnswered(answer, executions, rejection)), text);
                served += answer.status == 200 ? 1 : 0;
            }
        }
        held.clear();
        return served;
    }

    void signal(std::size_t node, int number = SIGTERM)
    {
        fleet.nodeProcess(node).signal(number);
        signalledAt = Clock::now();
    }

    // The node must end by itself, within its grace time.
    void checkEnd(std::size_t node)
    {
        BOOST_TEST(fleet.nodeProcess(node).wait() == 0);
        BOOST_TEST((Clock::now() - signalledAt < GraceTime));
        BOOST_TEST(logOf(node).find("\"stopped\"") != std::string::npos);
    }

    void checkRejection(const Answer &answer) const
    {
        const auto executed = fleet.executedCalls();
        BOOST_TEST((answer.notRun && isAnswered(answer, std::count(executed.begin(), executed.end(), answer.id), 503)));
    }

    // The answer to a call whose header arrives late in a stop of the ingress, which has learnt the route's service time before.
    Answer answerLateInAStop(const std::string &method, const std::string &target)
    {
        constexpr int LearntCalls = 8;
        for (int i = 0; i < LearntCalls; ++i) {
            call(method, target, fmt::format("learnt-{}-{}", method, i));
        }
        BOOST_TEST(checkAnswers() == LearntCalls);
        const auto id = "late-" + method;
        const auto request = requestText(method, target, id);
        RawClient caller(fleet.ingress(Ingress));
        caller.send(request.substr(0, request.size() / 2));
        std::this_thread::sleep_for(Milliseconds(100));
        signal(Ingress);
        std::this_thread::sleep_for(LateInAStop);
        caller.send(request.substr(request.size() / 2));
        const auto answer = readAnswer(caller, id);
        checkEnd(Ingress);
        return answer;
    }

    std::string logOf(std::size_t node) const
    {
        std::ifstream file(fleet.nodeLog(node));
        std::stringstream log;
        log << file.rdbuf();
        return log.str();
    }

    // Warnings of these events in the node's log.
    std::vector<nlohmann::json> warningsOf(std::size_t node, const std::set<std::string> &events) const
    {
        std::vector<nlohmann::json> warnings;
        std::ifstream log(fleet.nodeLog(node));
        for (std::string text; std::getline(log, text);) {
            const auto line = nlohmann::json::parse(text, nullptr, false);
            if (line.is_object() && line.value("level", "") == "warning" && events.count(line.value("event", "")) > 0) {
                warnings.push_back(line);
            }
        }
        return warnings;
    }

    PlatformFleet fleet;
    std::vector<std::future<std::vector<Answer>>> held;
    TimePoint signalledAt;
};

}

// Guards against calls that end without an answer when the node that took them is stopped.
BOOST_FIXTURE_TEST_CASE(StopOfTheIngressAnswersAllCalls, Fixture)
{
    holdCalls();
    signal(Ingress);
    checkEnd(Ingress);
    BOOST_TEST(checkAnswers() >= 8);
}

// Guards against calls that end without an answer when the node beside their target is stopped.
BOOST_FIXTURE_TEST_CASE(StopOfTheSidecarAnswersAllCalls, Fixture)
{
    holdCalls();
    signal(FirstSidecar);
    checkEnd(FirstSidecar);
    BOOST_TEST(checkAnswers() >= 8);
}

// Guards against the same when both are stopped within the time that a stop takes.
BOOST_FIXTURE_TEST_CASE(StopOfBothAnswersAllCalls, Fixture)
{
    holdCalls();
    signal(FirstSidecar);
    std::this_thread::sleep_for(Milliseconds(250));
    signal(Ingress);
    checkEnd(Ingress);
    BOOST_TEST(checkAnswers() >= 8);
}

BOOST_FIXTURE_TEST_CASE(StopOfBothInTheOtherOrderAnswersAllCalls, Fixture)
{
    holdCalls();
    signal(Ingress);
    std::this_thread::sleep_for(Milliseconds(250));
    signal(FirstSidecar);
    checkEnd(FirstSidecar);
    BOOST_TEST(checkAnswers() >= 8);
}

// Guards against calls that the end of the stop cuts, because their targets take longer than it.
BOOST_FIXTURE_TEST_CASE(StopAnswersCallsThatOutlastIt, Fixture)
{
    setServiceTime(GraceTime + Milliseconds(1500));
    auto running = hold({requestText("POST", "/orden/1", "running")}, {"running"});
    std::this_thread::sleep_for(SignalAfter);
    signal(Ingress);
    checkEnd(Ingress);
    const auto answer = running.get().front();
    BOOST_TEST(answer.status == 502);
    BOOST_TEST(answer.complete);
    BOOST_TEST(!answer.notRun);
}

// Guards against calls that the end of the stop cuts, because their headers arrive while it waits for the peers.
BOOST_FIXTURE_TEST_CASE(StopAnswersACallThatArrivesDuringIt, Fixture)
{
    setServiceTime(GraceTime);
    const auto request = requestText("POST", "/orden/1", "late");
    RawClient caller(fleet.ingress(Ingress));
    caller.send(request.substr(0, request.size() / 2));
    std::this_thread::sleep_for(Milliseconds(100));
    signal(Ingress);
    std::this_thread::sleep_for(Milliseconds(3000));
    caller.send(request.substr(request.size() / 2));
    const auto answer = readAnswer(caller, "late");
    BOOST_TEST((answer.status == 502 || answer.status == 503));
    BOOST_TEST(answer.complete);
    checkEnd(Ingress);
    const auto executed = fleet.executedCalls();
    const bool hasRun = std::count(executed.begin(), executed.end(), "late") > 0;
    BOOST_TEST(!(answer.notRun && hasRun));
}

// Guards against calls that are sent to targets so late in a stop that its end cuts them off.
BOOST_FIXTURE_TEST_CASE(StopRejectsACallThatWouldOutlastIt, Fixture)
{
    checkRejection(answerLateInAStop("POST", "/orden/1"));
}

BOOST_FIXTURE_TEST_CASE(StopRejectsARepeatableCallThatWouldOutlastIt, Fixture)
{
    checkRejection(answerLateInAStop("GET", "/espera/1"));
}

// Guards against calls that are rejected in a stop although there is time left for them.
BOOST_FIXTURE_TEST_CASE(StopServesACallThatEndsBeforeIt, Fixture)
{
    setServiceTime(Milliseconds(100));
    const auto answer = answerLateInAStop("POST", "/orden/1");
    BOOST_TEST((answer.status == 200 && answer.complete));
}

// Guards against an upload that the end of the stop cuts, because its caller has paused.
BOOST_FIXTURE_TEST_CASE(StopAnswersAnUploadThatPauses, Fixture)
{
    const auto header = requestText("POST", "/orden/1", "pausing", UploadPieces * PieceBytes);
    auto running = hold({header + std::string((UploadPieces - 1) * PieceBytes, 'x')}, {"pausing"});
    std::this_thread::sleep_for(SignalAfter);
    signal(Ingress);
    checkEnd(Ingress);
    const auto answer = running.get().front();
    BOOST_TEST(answer.status != 0);
    BOOST_TEST(answer.complete);
}

// Guards against a stop that takes its full time from the moment at which a node without a processor reads the signal.
BOOST_FIXTURE_TEST_CASE(StopCountsTheTimeBeforeTheSignalIsRead, Fixture)
{
    constexpr Milliseconds Pause{2000};
    setServiceTime(2 * GraceTime);
    auto running = hold({requestText("POST", "/orden/1", "running")}, {"running"});
    std::this_thread::sleep_for(SignalAfter);
    fleet.nodeProcess(Ingress).signal(SIGSTOP);
    signal(Ingress);
    std::this_thread::sleep_for(Pause);
    fleet.nodeProcess(Ingress).signal(SIGCONT);
    checkEnd(Ingress);
    const auto answer = running.get().front();
    BOOST_TEST(answer.status != 0);
    BOOST_TEST(answer.complete);
}

// Guards against a response that the end of the stop destroys, because its caller reads slowly and has sent more.
BOOST_FIXTURE_TEST_CASE(StopDeliversAResponseToASlowReaderThatPipelines, Fixture)
{
    setServiceTime(Milliseconds(400));
    RawClient caller(fleet.ingress(Ingress), SmallReceiveBuffer);
    caller.send(requestText("GET", fmt::format("/bajada/1?bytes={}", PieceBytes), "slow-reader"));
    std::this_thread::sleep_for(Milliseconds(200));
    signal(Ingress);
    std::this_thread::sleep_for(Milliseconds(600));
    caller.send(requestText("GET", "/cola/1", "behind"));
    std::this_thread::sleep_for(Milliseconds(2000));
    const auto answer = readAnswer(caller, "slow-reader");
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.complete);
    checkEnd(Ingress);
    BOOST_TEST(logOf(Ingress).find("\"connections-left-open\",\"server\":\"ingress\",\"count\":0,") != std::string::npos);
}

// Guards against a caller that keeps its pipeline filled: it must see an orderly end of its connection, and an answer
// to each call that ran.
BOOST_FIXTURE_TEST_CASE(StopEndsAFullPipelineInOrder, Fixture)
{
    setServiceTime(Milliseconds(20));
    RawClient caller(fleet.ingress(Ingress));
    std::set<std::string> answered;
    bool closed = false;
    // More than the node reads at once.
    constexpr int Ahead = 60;
    for (int sent = 0; !closed; ++sent) {
        caller.send(requestText("GET", "/cola/1", fmt::format("full-{}", sent)));
        if (sent == Ahead * 2) {
            signal(Ingress);
        }
        if (sent >= Ahead) {
            const auto header = caller.readTo("\r\n\r\n");
            const auto length = header.find("Content-Length: ");
            BOOST_REQUIRE_MESSAGE(length != std::string::npos, "the connection ended without Connection: close");
            BOOST_REQUIRE(caller.skip(std::stoul(header.substr(length + 16))));
            if (header.starts_with("HTTP/1.1 200")) {
                answered.insert(fmt::format("full-{}", sent - Ahead));
            }
            closed = header.find("Connection: close") != std::string::npos;
        }
    }
    checkEnd(Ingress);
    for (const auto &id : fleet.executedCalls()) {
        BOOST_TEST((!id.starts_with("full-") || answered.count(id) == 1), id + " ran and was not answered");
    }
}

// Guards against a log that says nothing of a response that its caller did not receive.
BOOST_FIXTURE_TEST_CASE(StopLogsAResponseThatWasNotReceived, Fixture)
{
    setServiceTime(Milliseconds(100));
    RawClient caller(fleet.ingress(Ingress), SmallReceiveBuffer);
    caller.send(requestText("GET", fmt::format("/bajada/1?bytes={}", PieceBytes), "unread"));
    std::this_thread::sleep_for(Milliseconds(600));
    signal(Ingress);
    checkEnd(Ingress);
    const auto warnings = warningsOf(Ingress, {"connection-ended", "connections-left-open"});
    BOOST_TEST(std::any_of(warnings.begin(), warnings.end(), [](const auto &warning) { return warning.value("unacknowledged_bytes", std::int64_t(0)) > 0; }));
}

// Guards against a process that ends while a request body still arrives.
BOOST_FIXTURE_TEST_CASE(StopWaitsForAnUploadThatArrives, Fixture)
{
    setServiceTime(Milliseconds(100));
    upload("upload", Milliseconds(600));
    std::this_thread::sleep_for(Milliseconds(300));
    signal(Ingress);
    checkEnd(Ingress);
    BOOST_TEST(checkAnswers() == 1);
}

// Guards against calls that end when a node reads its settings again.
BOOST_FIXTURE_TEST_CASE(ReloadEndsNoCall, Fixture)
{
    holdCalls();
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        std::ofstream(argument(1) + fmt::format("/plannedstop/node-{}.ini", node), std::ios::app) << fmt::format("seeds = {}:8084\n", fleet.ingress(0).address);
        signal(node, SIGHUP);
    }
    BOOST_TEST(checkAnswers() >= 10);
}

// Guards against calls that a change of their route ends.
BOOST_FIXTURE_TEST_CASE(ShorterTimeoutEndsNoRunningCall, Fixture)
{
    holdCalls();
    BOOST_REQUIRE(fleet.configure(document(2, routes(1))).has_value());
    // The new timeout applies to the pipelined call, which begins after the change.
    BOOST_TEST(checkAnswers(503, "pipelined") >= 8);
}

BOOST_FIXTURE_TEST_CASE(RemovedRouteEndsNoRunningCall, Fixture)
{
    holdCalls();
    BOOST_REQUIRE(fleet.configure(document(2, {{.name = "portal", .service = "portal"}, {.name = "cola", .service = "ventas"}})).has_value());
    BOOST_TEST(checkAnswers(404) >= 8);
}

// Guards against calls that end when another id is announced for the target that runs them.
BOOST_FIXTURE_TEST_CASE(TargetAnnouncedAnewEndsNoRunningCall, Fixture)
{
    holdCalls();
    const auto target = fleet.target(FirstSidecar);
    constexpr int OtherPort = 9005;
    constexpr int RegistrationPort = 8082;
    ChildProcess successor({argument(1) + "/standins/targetstandin",
                               "--address=" + target.address,
                               fmt::format("--port={}", OtherPort),
                               fmt::format("--announce={}:{}", target.address, RegistrationPort),
                               "--announce-as=" + toString(target),
                               "--heartbeat=" + argument(2) + "/platform/heartbeat.sample",
                               "--id=t-1-9",
                               "--service=ventas",
                               "--data-centre=rosario-a"},
        argument(1) + "/plannedstop/successor.log");
    BOOST_TEST(checkAnswers() >= 8);
}
