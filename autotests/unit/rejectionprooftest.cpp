// A status that tells the caller that its call did not run has to rest on a proof that it did not.

#include "core/calls/callheaders.h"
#include "daemon/calls/sidecar.h"
#include "daemon/targetservice.h"
#include "httptest.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <future>
#include <list>
#include <mutex>

using namespace Galenahill;

namespace {

const Endpoint SidecarEndpoint{testAddress(43), 8081};
const Endpoint TargetEndpoint{testAddress(43), 9000};

constexpr const char *Rejection = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

std::string success(const std::string &id)
{
    return fmt::format("HTTP/1.1 200 OK\r\nId: {}\r\nProof: 1\r\nContent-Length: 2\r\n\r\nok", id);
}

// A target that responds to each call with what the script returns for the call's id and its number on its connection.
class ScriptedTarget
{
public:
    using Script = std::function<std::string(const std::string &id, int call)>;

    explicit ScriptedTarget(Script script)
        : m_script(std::move(script))
        , m_acceptor(m_context, Tcp::endpoint(asio::ip::make_address(TargetEndpoint.address), TargetEndpoint.port))
        , m_thread([this] { accept(); })
    {
    }

    ~ScriptedTarget()
    {
        m_stopping = true;
        ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        m_thread.join();
        for (auto &connection : m_connections) {
            ::shutdown(connection.socket.native_handle(), SHUT_RDWR);
            connection.thread.join();
        }
    }

private:
    struct Connection
    {
        Tcp::socket socket;
        std::thread thread;
    };

    void accept()
    {
        while (!m_stopping) {
            ErrorCode error;
            Tcp::socket socket(m_context);
            m_acceptor.accept(socket, error);
            if (!error) {
                auto &connection = m_connections.emplace_back(Connection{std::move(socket), {}});
                connection.thread = std::thread([this, &connection] { serve(connection.socket); });
            }
        }
    }

    void serve(Tcp::socket &socket)
    {
        ErrorCode error;
        std::string text;
        int call = 0;
        while (!error) {
            char byte = 0;
            socket.read_some(asio::buffer(&byte, 1), error);
            text += byte;
            const auto end = text.find("\r\n\r\n");
            if (error || end == std::string::npos) {
                continue;
            }
            const auto response = m_script(idOf(text), ++call);
            asio::write(socket, asio::buffer(response), error);
            text.clear();
        }
    }

    // Empty if the request has no ID, like a health check.
    static std::string idOf(const std::string &header)
    {
        constexpr std::string_view Name = "\r\nId: ";
        const auto found = header.find(Name);
        const auto begin = found + Name.size();
        return found == std::string::npos ? std::string() : header.substr(begin, header.find("\r\n", begin) - begin);
    }

    Script m_script;
    asio::io_context m_context;
    Tcp::acceptor m_acceptor;
    std::atomic<bool> m_stopping = false;
    std::list<Connection> m_connections;
    std::thread m_thread;
};

// The sidecar of a target with one slot, and a server that passes calls to it.
struct Fixture
{
    Fixture()
        : guard(asio::make_work_guard(context))
        , server(context, {.endpoint = SidecarEndpoint, .handler = [this](HttpRequest request, ServerConnection &connection) {
                               return sidecar.handle(std::move(request), connection);
                           }})
    {
        BOOST_REQUIRE(server.listen().has_value());
        sidecar.targetAnnounced({.id = "t", .startedAt = 1, .slots = 1}, MemberState::Ready);
        thread = std::thread([this] { context.run(); });
    }

    ~Fixture()
    {
        context.stop();
        thread.join();
    }

    static CallHeaderNames headerNames()
    {
        CallHeaderNames names;
        names.requestId = "Id";
        names.originMarker = "Proof";
        names.notExecuted = "Not-Executed";
        return names;
    }

    // Announces the target, which is checked before it counts as ready, and waits until the first check has ended.
    void checkHealth()
    {
        const std::future<void> ended = checked.get_future();
        asio::post(context, [this] {
            asio::co_spawn(
                context, [this]() -> asio::awaitable<void> { (void)co_await service.handle(HttpRequest()); }, asio::detached);
        });
        BOOST_REQUIRE((ended.wait_for(std::chrono::seconds(5)) == std::future_status::ready));
    }

    static std::string request(const std::string &id, const std::string &fields = {})
    {
        return fmt::format("POST /x HTTP/1.1\r\nHost: h\r\nId: {}\r\n{}: ventas\r\n{}: r\r\n{}: 5000\r\n{}Content-Length: 0\r\n\r\n",
            id,
            CallHeaders::Service,
            CallHeaders::Route,
            CallHeaders::TimeoutMs,
            fields);
    }

    // Sends a call that must not run twice; returns the status of the response.
    int call(const std::string &id) const
    {
        RawClient client(SidecarEndpoint);
        client.send(request(id));
        const auto header = client.readTo("\r\n\r\n");
        return header.empty() ? 0 : std::stoi(header.substr(header.find(' ')));
    }

    // Sends a call that may run twice; returns whether the response is its own success.
    bool succeedsWhenRetriable(const std::string &id) const
    {
        RawClient client(SidecarEndpoint);
        client.send(request(id, fmt::format("{}: yes\r\n", CallHeaders::RetriedAbove)));
        const auto header = client.readTo("\r\n\r\n");
        return header.starts_with("HTTP/1.1 200 ") && client.readTo("ok") == "ok";
    }

    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard;
    HttpClient client{context, {}};
    Sidecar sidecar{{.context = context,
        .client = client,
        .service = ServiceName("ventas"),
        .target = TargetEndpoint,
        .log = [](LogLevel, std::string_view, const std::vector<LogField> &) {},
        .policy = {.adaptive = false},
        .headerNames = headerNames(),
        .stateChanged = [](MemberState) {}}};
    std::promise<void> checked;
    bool wasChecked = false;
    TargetService service{{.context = context,
        .client = client,
        .registration = {.address = TargetEndpoint, .service = ServiceName("ventas"), .firstStart = false},
        .decode = [](const HttpRequest &) -> Result<TargetMessage> {
            TargetAnnouncement target;
            target.id = "t";
            target.startedAt = 1;
            target.sequence = 1;
            target.service = ServiceName("ventas");
            target.address = TargetEndpoint;
            return target;
        },
        .healthPath = [] { return "/health"; },
        .targetIdField = {},
        .log =
            [this](LogLevel, std::string_view event, const std::vector<LogField> &) {
                if (event == "target-checked" && !std::exchange(wasChecked, true)) {
                    checked.set_value();
                }
            },
        .changed = [](const TargetAnnouncement &, MemberState) {}}};
    HttpServer server;
    std::thread thread;
};

}

// Guards against a second copy of a rejection, which names no call and arrives where the response to the next call is due.
BOOST_AUTO_TEST_CASE(LateCopyOfARejectionIsNotTakenForTheNextCall)
{
    std::atomic<bool> rejected = false;
    ScriptedTarget target([&](const std::string &id, int call) {
        if (!rejected.exchange(true)) {
            return std::string(Rejection);
        }
        return (call > 1 ? Rejection : "") + success(id);
    });
    const Fixture fixture;
    BOOST_TEST(fixture.call("first") == 503);
    BOOST_TEST(fixture.call("second") == 200);
}

// Guards against the same where the call is offered to the target once more, so that the copy names the call.
BOOST_AUTO_TEST_CASE(LateCopyOfARejectionIsNotTakenForTheSameCall)
{
    std::atomic<bool> rejected = false;
    ScriptedTarget target([&](const std::string &id, int call) {
        const auto rejection = fmt::format("HTTP/1.1 503 Service Unavailable\r\nId: {}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id);
        if (!rejected.exchange(true)) {
            return rejection;
        }
        return (call > 1 ? rejection : "") + success(id);
    });
    const Fixture fixture;
    BOOST_TEST(fixture.call("first") == 503);
    BOOST_TEST(fixture.call("first") == 200);
}

// Guards against a second copy of the rejection of a health check, which shares the connections of the calls.
BOOST_AUTO_TEST_CASE(LateCopyOfARejectedHealthCheckIsNotTakenForTheNextCall)
{
    ScriptedTarget target([](const std::string &id, int call) {
        if (id.empty()) {
            return std::string(Rejection);
        }
        return (call > 1 ? Rejection : "") + success(id);
    });
    Fixture fixture;
    fixture.checkHealth();
    BOOST_TEST(fixture.call("first") == 200);
}

// Guards against a second copy of the response to a health check, which has the target's signature like that to a call.
BOOST_AUTO_TEST_CASE(LateCopyOfAHealthyResponseIsNotTakenForTheNextCall)
{
    ScriptedTarget target([](const std::string &id, int call) {
        const std::string healthy = "HTTP/1.1 200 OK\r\nProof: 1\r\nContent-Length: 7\r\n\r\nhealthy";
        return id.empty() ? healthy : (call > 1 ? healthy : "") + success(id);
    });
    Fixture fixture;
    fixture.checkHealth();
    BOOST_TEST(fixture.succeedsWhenRetriable("first"));
}

// Guards against statuses that promise that the call did not run, passed on from a target that does not state it.
BOOST_AUTO_TEST_CASE(StatusThatPromisesNotRunIsNotPassedOnWithoutProof)
{
    for (const int status : {408, 429, 503}) {
        ScriptedTarget target(
            [status](const std::string &id, int) { return fmt::format("HTTP/1.1 {} Later\r\nId: {}\r\nProof: 1\r\nContent-Length: 0\r\n\r\n", status, id); });
        const Fixture fixture;
        BOOST_TEST(fixture.call("only") == 502);
    }
}
