#include "fleet.h"

#include "adapters/http/blockinghttpclient.h"
#include "adapters/http/httpclient.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

namespace Galenahill {

namespace {

constexpr std::uint16_t IngressPort = 8080;
constexpr std::uint16_t SidecarPort = 8081;
constexpr std::uint16_t ControlPort = 8082;
constexpr std::uint16_t TargetPort = 9000;
constexpr std::uint16_t PlatformPort = 7000;
constexpr std::size_t AddressesPerNetwork = 250;
constexpr Milliseconds StatusTimeout{2000};
constexpr Milliseconds StartTimeout{60000};

struct NodeProcesses
{
    std::unique_ptr<ChildProcess> node;
    std::unique_ptr<ChildProcess> target;
};

asio::awaitable<void> requestStatus(HttpClient &client, Endpoint endpoint, std::optional<nlohmann::json> &result)
{
    HttpRequest request(http::verb::get, "/status", 11);
    request.set(http::field::host, toString(endpoint));
    const auto response = co_await client.exchange(endpoint, std::move(request), Clock::now() + StatusTimeout);
    if (response && response->result() == http::status::ok) {
        result = nlohmann::json::parse(response->body(), nullptr, false);
    }
}

}

class Fleet::Private
{
public:
    explicit Private(Options given)
        : options(std::move(given))
        , processes(options.nodes)
        , client(context, {.maxIdlePerEndpoint = 1})
    {
    }

    Options options;
    std::vector<NodeProcesses> processes;
    std::unique_ptr<ChildProcess> platform;
    asio::io_context context{1};
    HttpClient client;

    std::string address(std::size_t node) const
    {
        return fmt::format("127.{}.{}.{}", options.network, 1 + node / AddressesPerNetwork, 1 + node % AddressesPerNetwork);
    }

    std::string dataCentre(std::size_t node) const
    {
        return options.dataCentres[node % options.dataCentres.size()];
    }

    std::string path(const std::string &name) const
    {
        return options.folder + "/" + name;
    }
};

Fleet::Fleet(Options options)
    : d(std::make_unique<Private>(std::move(options)))
{
    std::filesystem::create_directories(d->options.folder);
    // Processes append to their logs, since they are restarted. Calls that an earlier run logged
    // would count as calls of this run.
    for (const auto &entry : std::filesystem::directory_iterator(d->options.folder)) {
        if (entry.path().extension() == ".log" || entry.path().extension() == ".ini") {
            std::filesystem::remove(entry.path());
        }
    }
}

Fleet::~Fleet() = default;

std::uint8_t Fleet::defaultNetwork()
{
    constexpr std::uint8_t DefaultNetwork = 20;
    const char *chosen = std::getenv("GALENAHILL_TEST_NETWORK");
    return chosen == nullptr ? DefaultNetwork : static_cast<std::uint8_t>(std::strtoul(chosen, nullptr, 10));
}

std::size_t Fleet::size() const
{
    return d->processes.size();
}

std::size_t Fleet::dataCentres() const
{
    return d->options.dataCentres.size();
}

Endpoint Fleet::platform() const
{
    return {fmt::format("127.{}.0.1", d->options.network), PlatformPort};
}

Endpoint Fleet::ingress(std::size_t node) const
{
    return {d->address(node), IngressPort};
}

Endpoint Fleet::sidecar(std::size_t node) const
{
    return {d->address(node), SidecarPort};
}

Endpoint Fleet::control(std::size_t node) const
{
    return {d->address(node), ControlPort};
}

Endpoint Fleet::target(std::size_t node) const
{
    return {d->address(node), TargetPort};
}

const Fleet::Service &Fleet::service(std::size_t node) const
{
    // Consecutive nodes are in different data centres, so that each service has targets in all of them.
    return d->options.services[(node / d->options.dataCentres.size()) % d->options.services.size()];
}

void Fleet::startPlatform()
{
    const auto endpoint = platform();
    d->platform = std::make_unique<ChildProcess>(
        std::vector<std::string>{d->options.programs + "/standins/platformstandin", "--address=" + endpoint.address, fmt::format("--port={}", endpoint.port)},
        d->path("platform.log"));
}

void Fleet::startNode(std::size_t node)
{
    const auto name = fmt::format("{}-{}", d->dataCentre(node), node);
    const auto settings = d->path(name + ".ini");
    std::ofstream(settings) << fmt::format("[node]\nname = {}\ndata-centre = {}\naddress = {}\ningress-port = {}\nsidecar-port = {}\ncontrol-port = {}\n"
                                           "[target]\nservice = {}\naddress = {}\nport = {}\n[platform]\naddress = {}\nport = {}\n{}",
        name,
        d->dataCentre(node),
        d->address(node),
        IngressPort,
        SidecarPort,
        ControlPort,
        service(node).name,
        d->address(node),
        TargetPort,
        platform().address,
        platform().port,
        d->options.settings);
    d->processes[node].node
        = std::make_unique<ChildProcess>(std::vector<std::string>{d->options.programs + "/src/galenahilld", "--settings=" + settings}, d->path(name + ".log"));
}

void Fleet::startTarget(std::size_t node)
{
    const auto endpoint = target(node);
    const auto &kind = service(node);
    std::vector<std::string> command{d->options.programs + "/standins/targetstandin",
        "--address=" + endpoint.address,
        fmt::format("--port={}", endpoint.port),
        fmt::format("--slots={}", kind.slots),
        fmt::format("--service-us={}", kind.serviceMicroseconds),
        fmt::format("--cold-start-ms={}", kind.coldStartMs),
        fmt::format("--backlog={}", kind.backlog),
        "--fatal-marker=" + d->options.fatalMarker};
    if (d->options.logRuns) {
        command.emplace_back("--log-runs");
    }
    d->processes[node].target = std::make_unique<ChildProcess>(command, d->path(fmt::format("target-{}.log", node)));
}

Result<void> Fleet::start()
{
    for (std::size_t node = 0; node < size(); ++node) {
        // Calls that an earlier fleet logged in this folder would count as calls of this one.
        std::filesystem::remove(d->path(fmt::format("target-{}.log", node)));
    }
    startPlatform();
    std::this_thread::sleep_for(Milliseconds(200));
    for (std::size_t node = 0; node < size(); ++node) {
        if (d->options.targets) {
            startTarget(node);
        }
        startNode(node);
    }
    const auto joined = waitForAll(
        [this](const nlohmann::json &status) {
            return status.value("members", std::size_t(0)) == size() && (!d->options.targets || status.value("state", "") == "ready");
        },
        StartTimeout,
        Milliseconds(50));
    if (!joined) {
        return failure(ErrorKind::Unavailable, fmt::format("not all nodes knew all members and were ready in time; see the logs in {}", d->options.folder));
    }
    return {};
}

ChildProcess *Fleet::nodeProcess(std::size_t node)
{
    return d->processes[node].node.get();
}

ChildProcess *Fleet::targetProcess(std::size_t node)
{
    return d->processes[node].target.get();
}

ChildProcess *Fleet::platformProcess()
{
    return d->platform.get();
}

std::vector<LedgerEntry> Fleet::loggedRuns() const
{
    std::vector<LedgerEntry> entries;
    for (std::size_t node = 0; node < size(); ++node) {
        std::ifstream log(d->path(fmt::format("target-{}.log", node)));
        std::string word;
        while (log >> word) {
            std::string call;
            std::int64_t microseconds = 0;
            if (word == "ran" && log >> call >> microseconds) {
                entries.push_back({call, node, TimePoint(std::chrono::microseconds(microseconds))});
            }
        }
    }
    return entries;
}

std::optional<nlohmann::json> Fleet::status(std::size_t node) const
{
    std::optional<nlohmann::json> result;
    asio::co_spawn(d->context, requestStatus(d->client, control(node), result), asio::detached);
    d->context.restart();
    d->context.run();
    return result;
}

std::optional<Milliseconds> Fleet::waitForAll(const std::function<bool(const nlohmann::json &)> &predicate, Milliseconds limit, Milliseconds step)
{
    const auto begin = Clock::now();
    std::vector<bool> done(size(), false);
    while (Clock::now() - begin < limit) {
        std::vector<std::optional<nlohmann::json>> results(size());
        for (std::size_t node = 0; node < size(); ++node) {
            if (!done[node] && d->processes[node].node && d->processes[node].node->running()) {
                asio::co_spawn(d->context, requestStatus(d->client, control(node), results[node]), asio::detached);
            }
        }
        d->context.restart();
        d->context.run();
        bool all = true;
        for (std::size_t node = 0; node < size(); ++node) {
            const bool running = d->processes[node].node && d->processes[node].node->running();
            done[node] = done[node] || !running || (results[node] && predicate(*results[node]));
            all = all && done[node];
        }
        if (all) {
            return std::chrono::duration_cast<Milliseconds>(Clock::now() - begin);
        }
        std::this_thread::sleep_for(step);
    }
    return std::nullopt;
}

std::size_t Fleet::stop()
{
    for (auto &entry : d->processes) {
        if (entry.node) {
            entry.node->signal(SIGTERM);
        }
    }
    std::size_t unclean = 0;
    for (auto &entry : d->processes) {
        if (entry.node && entry.node->wait() != 0) {
            ++unclean;
        }
        entry.node.reset();
        entry.target.reset();
    }
    d->platform.reset();
    return unclean;
}

}
