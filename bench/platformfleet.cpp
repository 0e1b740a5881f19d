#include "platformfleet.h"

#include "adapters/http/blockinghttpclient.h"
#include "adapters/http/httpclient.h"
#include "platform/configuration.h"
#include "platform/objectstore.h"

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <map>
#include <optional>
#include <sstream>
#include <thread>

namespace Galenahill {

namespace {

constexpr std::uint16_t StorePort = 7000;
constexpr std::uint16_t IngressPort = 8080;
constexpr std::uint16_t SidecarPort = 8081;
constexpr std::uint16_t RegistrationPort = 8082;
constexpr std::uint16_t ReadinessPort = 8083;
constexpr std::uint16_t PeerPort = 8084;
constexpr std::uint16_t MetricsPort = 9464;
constexpr std::uint16_t TargetPort = 9000;
constexpr std::uint16_t TargetProxyPort = 9001;

constexpr Milliseconds ReadinessTimeout{500};
constexpr Milliseconds InstructionTimeout{1000};
constexpr Milliseconds PollInterval{50};
constexpr Milliseconds StartLimit{20000};

// Reads what NestedCaller::call() of the target stand-in returns, with the time at which the call ended.
std::optional<CallRecord> readNestedCall(std::istream &words)
{
    static const std::map<std::string, CallEnd> ends
        = {{"response", CallEnd::Response}, {"unsent", CallEnd::NotSent}, {"closed", CallEnd::ClosedBeforeResponse}, {"timed-out", CallEnd::TimedOut}};
    static const std::map<std::string, CallOutcome> outcomes
        = {{"answered", CallOutcome::Answered}, {"not-run", CallOutcome::NotRun}, {"unknown", CallOutcome::Unknown}, {"mismatched", CallOutcome::Mismatched}};
    CallRecord call;
    std::int64_t timeout = 0;
    std::int64_t sent = 0;
    std::int64_t ended = 0;
    std::string end;
    std::string outcome;
    words >> call.id >> call.path >> timeout >> sent >> end >> outcome >> call.status >> call.receivedBytes >> call.target >> ended;
    if (!words || !ends.contains(end) || !outcomes.contains(outcome)) {
        return std::nullopt;
    }
    call.idempotent = true;
    call.end = ends.at(end);
    call.outcome = outcomes.at(outcome);
    call.timeout = Milliseconds(timeout);
    call.target = call.target == "-" ? std::string() : call.target;
    call.sentAt = TimePoint(std::chrono::microseconds(sent));
    call.endedAt = TimePoint(std::chrono::microseconds(ended));
    return call;
}

// Adds the event in a line of a target's log to the history of the target's last start.
void readEvent(const std::string &line, std::vector<TargetHistory> &histories)
{
    std::istringstream words(line);
    std::string kind;
    std::string field;
    TargetHistory::Event event;
    std::int64_t time = 0;
    words >> kind;
    if (kind == "started") {
        histories.emplace_back();
        words >> histories.back().target;
        return;
    }
    if (kind == "customer" && !histories.empty()) {
        std::string customer;
        words >> event.value >> customer;
        histories.back().customers.push_back({.call = event.value, .customer = customer == "-" ? std::string() : customer});
        return;
    }
    if (kind == "called" && !histories.empty()) {
        if (const auto call = readNestedCall(words)) {
            histories.back().nestedCalls.push_back(*call);
        }
        return;
    }
    if (kind == "stated") {
        words >> field;
    }
    // Other programs' messages may stand in the log as well.
    if (histories.empty() || !(words >> event.value >> time)) {
        return;
    }
    event.time = std::chrono::microseconds(time);
    auto &history = histories.back();
    const std::map<std::string, std::vector<TargetHistory::Event> *> lists = {{"got", &history.arrivals},
        {"ran", &history.executions},
        {"answered", &history.responses},
        {"cut", &history.cuts},
        {"ended-by", &history.fatalCalls},
        {"leaked", &history.leaks},
        {"stated rate-limit", &history.rateLimits},
        {"stated leaving", &history.departures}};
    const auto list = lists.find(field.empty() ? kind : kind + " " + field);
    if (list != lists.end()) {
        list->second->push_back(event);
    }
}

}

class PlatformFleet::Private
{
public:
    struct NodeProcesses
    {
        std::unique_ptr<ChildProcess> node;
        std::unique_ptr<ChildProcess> target;
        // Each start of a target gets a new target id, so that the fleet sees a different target.
        int targetStarts = 0;
        bool startedBefore = false;
    };

    Options options;
    std::unique_ptr<ChildProcess> store;
    std::vector<NodeProcesses> processes;

    std::string address(std::size_t node) const
    {
        return fmt::format("127.{}.1.{}", options.network, node + 1);
    }

    std::string dataCentre(std::size_t node) const
    {
        return fmt::format("rosario-{}", static_cast<char>('a' + node % options.dataCentres));
    }

    std::string path(const std::string &name) const
    {
        return options.folder + "/" + name;
    }

    std::string settings(std::size_t node, const Endpoint &storeAt, const Endpoint &targetAt) const;
};

std::string PlatformFleet::Private::settings(std::size_t node, const Endpoint &storeAt, const Endpoint &targetAt) const
{
    const auto ip = address(node);
    return fmt::format("[node]\nname = node-{0}\ndata-centre = {12}\nservice = {1}\nfirst-start = {2}\nlog-level = info\nstop-timeout-s = 6\n{13}"
                       "[listen]\ningress = {3}:{4}\nsidecar = {3}:{5}\nregistration = {3}:{6}\nreadiness = {3}:{7}\npeers = {3}:{8}\nmetrics = {3}:{9}\n"
                       "[target]\naddress = {10}\nheartbeat-interval-s = 0.2\n[store]\naddress = {11}\n"
                       "[fleet]\nrepeat-share = 0.2\nrepeat-slack = 60\n",
        node,
        options.services[node % options.services.size()],
        !processes[node].startedBefore,
        ip,
        IngressPort,
        SidecarPort,
        RegistrationPort,
        ReadinessPort,
        PeerPort,
        MetricsPort,
        toString(targetAt),
        toString(storeAt),
        dataCentre(node),
        options.linkMbps > 0 ? fmt::format("link-mbps = {}\n", options.linkMbps) : "");
}

PlatformFleet::PlatformFleet(Options options)
    : d(std::make_unique<Private>())
{
    d->options = std::move(options);
    d->processes.resize(d->options.nodes);
    std::filesystem::remove_all(d->options.folder);
    std::filesystem::create_directories(d->options.folder);
}

PlatformFleet::~PlatformFleet() = default;

std::size_t PlatformFleet::size() const
{
    return d->processes.size();
}

Endpoint PlatformFleet::store() const
{
    return {fmt::format("127.{}.0.1", d->options.network), StorePort};
}

Endpoint PlatformFleet::ingress(std::size_t node) const
{
    return {d->address(node), IngressPort};
}

Endpoint PlatformFleet::target(std::size_t node) const
{
    return {d->address(node), TargetPort};
}

std::optional<std::size_t> PlatformFleet::nodeOfTarget(const std::string &id)
{
    std::size_t node = 0;
    const auto begin = id.find('-') + 1;
    const auto [end, error] = std::from_chars(id.data() + begin, id.data() + id.size(), node);
    return error == std::errc() ? std::optional(node) : std::nullopt;
}

Endpoint PlatformFleet::storeForNodes() const
{
    return d->options.proxied ? Endpoint{fmt::format("127.{}.0.2", d->options.network), StorePort} : store();
}

Endpoint PlatformFleet::storeForNode(std::size_t node) const
{
    return d->options.storeAddressPerNode ? Endpoint{fmt::format("127.{}.2.{}", d->options.network, node + 1), StorePort} : storeForNodes();
}

Endpoint PlatformFleet::targetForNode(std::size_t node) const
{
    return {d->address(node), d->options.proxied ? TargetProxyPort : TargetPort};
}

Result<void> PlatformFleet::start(const std::string &configuration)
{
    startStore();
    for (std::size_t node = 0; node < size(); ++node) {
        startTarget(node);
        startNode(node);
    }
    const auto until = Clock::now() + StartLimit;
    auto written = configure(configuration);
    while (!written && Clock::now() < until) {
        std::this_thread::sleep_for(PollInterval);
        written = configure(configuration);
    }
    if (!written) {
        return written;
    }
    if (!waitUntilReady(StartLimit)) {
        return failure(ErrorKind::Unavailable, "not all nodes became ready in time; see the logs in " + d->options.folder);
    }
    return {};
}

Result<void> PlatformFleet::configure(const std::string &configuration)
{
    asio::io_context context(1);
    HttpClient client(context, {});
    Platform::ObjectStoreClient objects(client, store());
    std::optional<Result<void>> result;
    asio::co_spawn(
        context, [&]() -> asio::awaitable<void> { result = co_await objects.put(Platform::ConfigKind, Platform::ConfigName, configuration); }, asio::detached);
    context.run();
    return *result;
}

bool PlatformFleet::isReady(std::size_t node) const
{
    HttpRequest request(http::verb::get, "/ready", 11);
    request.set(http::field::host, "node");
    const auto response = blockingExchange({d->address(node), ReadinessPort}, std::move(request), ReadinessTimeout);
    return response && response->result() == http::status::ok;
}

bool PlatformFleet::waitUntilReady(Milliseconds limit) const
{
    const auto until = Clock::now() + limit;
    std::size_t readyNodes = 0;
    while (readyNodes < size() && Clock::now() < until) {
        if (isReady(readyNodes)) {
            ++readyNodes;
        } else {
            std::this_thread::sleep_for(PollInterval);
        }
    }
    return readyNodes == size();
}

void PlatformFleet::startStore()
{
    d->store = std::make_unique<ChildProcess>(
        std::vector<std::string>{d->options.programs + "/standins/platformstandin", "--address=" + store().address, fmt::format("--port={}", StorePort)},
        d->path("store.log"));
}

void PlatformFleet::startNode(std::size_t node)
{
    const auto file = d->path(fmt::format("node-{}.ini", node));
    std::ofstream(file) << d->settings(node, storeForNode(node), targetForNode(node));
    d->processes[node].startedBefore = true;
    d->processes[node].node = std::make_unique<ChildProcess>(
        std::vector<std::string>{d->options.programs + "/platform/galenahillnode", "--settings=" + file}, d->path(fmt::format("node-{}.log", node)));
}

void PlatformFleet::startTarget(std::size_t node)
{
    auto &entry = d->processes[node];
    std::vector<std::string> command{d->options.programs + "/standins/targetstandin",
        "--address=" + d->address(node),
        fmt::format("--port={}", TargetPort),
        fmt::format("--slots={}", d->options.slots),
        fmt::format("--service-us={}", d->options.serviceTime.count()),
        fmt::format("--announce={}:{}", d->address(node), RegistrationPort),
        "--announce-as=" + toString(targetForNode(node)),
        "--heartbeat=" + d->options.sources + "/platform/heartbeat.sample",
        fmt::format("--id=t-{}-{}", node, ++entry.targetStarts),
        "--service=" + d->options.services[node % d->options.services.size()],
        "--data-centre=" + d->dataCentre(node),
        fmt::format("--late-share={}", d->options.lateShare),
        fmt::format("--late-factor={}", d->options.lateFactor),
        fmt::format("--seed={}", d->options.seed * 1000 + node),
        "--key-marker=" + d->options.keyMarker,
        "--fatal-marker=" + d->options.fatalMarker,
        "--log-runs"};
    if (d->options.nestedShare > 0) {
        command.push_back("--nested-through=" + toString(ingress(node)));
        command.push_back("--nested-path=" + d->options.nestedPath);
        command.push_back("--nested-host=" + d->options.nestedHost);
        command.push_back(fmt::format("--nested-share={}", d->options.nestedShare));
    }
    entry.target = std::make_unique<ChildProcess>(command, d->path(fmt::format("target-{}.log", node)));
}

ChildProcess &PlatformFleet::storeProcess()
{
    return *d->store;
}

ChildProcess &PlatformFleet::nodeProcess(std::size_t node)
{
    return *d->processes[node].node;
}

ChildProcess &PlatformFleet::targetProcess(std::size_t node)
{
    return *d->processes[node].target;
}

std::string PlatformFleet::nodeLog(std::size_t node) const
{
    return d->path(fmt::format("node-{}.log", node));
}

std::vector<std::size_t> PlatformFleet::watchers() const
{
    std::vector<std::size_t> found;
    for (std::size_t node = 0; node < size(); ++node) {
        std::ifstream log(nodeLog(node));
        std::string line;
        bool watches = false;
        while (std::getline(log, line)) {
            if (line.find(R"("event":"watcher-role")") != std::string::npos) {
                watches = line.find(R"("watches":true)") != std::string::npos;
            }
        }
        if (watches) {
            found.push_back(node);
        }
    }
    return found;
}

bool PlatformFleet::instructTarget(std::size_t node, const std::string &json) const
{
    HttpRequest request(http::verb::post, "/admin", 11);
    request.set(http::field::host, "target");
    request.body() = json;
    const auto response = blockingExchange(target(node), std::move(request), InstructionTimeout);
    return response && response->result() == http::status::ok;
}

std::vector<TargetHistory> PlatformFleet::targetHistories() const
{
    std::vector<TargetHistory> histories;
    for (std::size_t node = 0; node < size(); ++node) {
        std::ifstream log(d->path(fmt::format("target-{}.log", node)));
        std::string line;
        const auto first = histories.size();
        while (std::getline(log, line)) {
            readEvent(line, histories);
        }
        std::for_each(histories.begin() + static_cast<std::ptrdiff_t>(first), histories.end(), [node](auto &history) {
            history.node = node;
            std::for_each(history.nestedCalls.begin(), history.nestedCalls.end(), [node](auto &call) { call.ingress = node; });
        });
    }
    return histories;
}

std::vector<CallRecord> PlatformFleet::nestedCalls() const
{
    std::vector<CallRecord> calls;
    for (const auto &history : targetHistories()) {
        calls.insert(calls.end(), history.nestedCalls.begin(), history.nestedCalls.end());
    }
    return calls;
}

std::vector<std::string> PlatformFleet::executedCalls() const
{
    std::vector<std::string> ids;
    for (const auto &history : targetHistories()) {
        for (const auto &execution : history.executions) {
            ids.push_back(execution.value);
        }
    }
    return ids;
}

}
