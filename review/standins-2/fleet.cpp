#include "fleet.h"

#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <random>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review {

namespace {

// The same ports on all machines, as in a deployment.
constexpr int InboundPort = 8300;
constexpr int ServerPort = 8301;
constexpr int ReadyPort = 8302;
constexpr int OutboundPort = 8304;
constexpr int ControlPort = 8306;
constexpr int InternalPort = 7620;
constexpr int MetricsPort = 9464;
constexpr int StorePort = 8309;

// The store has the first address of the network, the machines those from there on.
constexpr int FirstMachine = 10;

bool isFree(const std::string &network)
{
    for (const int port : {InboundPort, ServerPort, ReadyPort, OutboundPort, ControlPort, InternalPort, MetricsPort}) {
        if (!canListenAt({network + std::to_string(FirstMachine), port})) {
            return false;
        }
    }
    return canListenAt({network + "1", StorePort});
}

std::string freeNetwork()
{
    std::random_device random;
    for (;;) {
        const auto network = "127." + std::to_string(10 + random() % 200) + "." + std::to_string(1 + random() % 250) + ".";
        if (isFree(network)) {
            return network;
        }
    }
}

}

Endpoint Machine::inbound() const
{
    return {address, InboundPort};
}

Endpoint Machine::outbound() const
{
    return {address, OutboundPort};
}

Endpoint Machine::ready() const
{
    return {address, ReadyPort};
}

Endpoint Machine::control() const
{
    return {address, ControlPort};
}

Endpoint Machine::server() const
{
    return {address, ServerPort};
}

Fleet::Fleet()
    : m_network(freeNetwork())
{
    const char *temporary = std::getenv("TMPDIR");
    std::string folder = std::string(temporary == nullptr ? "/tmp" : temporary) + "/review-XXXXXX";
    if (mkdtemp(folder.data()) == nullptr) {
        std::fprintf(stderr, "can't make a temporary folder\n");
        std::_Exit(2);
    }
    m_folder = folder;
}

Fleet::~Fleet()
{
    for (const auto &machine : m_machines) {
        kill(*machine);
    }
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    } else {
        std::fprintf(stderr, "logs in %s\n", m_folder.c_str());
    }
}

Endpoint Fleet::storeEndpoint() const
{
    return {m_network + "1", StorePort};
}

void Fleet::setOptions(Options options)
{
    m_options = std::move(options);
}

Machine &Fleet::add(const std::string &zone, const std::string &service)
{
    const auto number = m_machines.size();
    m_machines.push_back(std::make_unique<Machine>(Machine{.name = "sidecar-" + zone + "-" + std::to_string(number + 1),
        .zone = zone,
        .service = service,
        .address = m_network + std::to_string(FirstMachine + number)}));
    return *m_machines.back();
}

std::vector<std::unique_ptr<Machine>> &Fleet::machines()
{
    return m_machines;
}

Machine &Fleet::machine(std::size_t index)
{
    return *m_machines.at(index);
}

// What the template of the deploy file makes of a small deployment's settings.
std::string Fleet::settingsOf(const Machine &machine) const
{
    const auto line = [](const std::string &name, const std::string &value) { return name + " = " + value + "\n"; };
    std::string text = "[node]\n" + line("name", machine.name) + line("data-centre", machine.zone) + line("service", machine.service);
    text += line("first-start", machine.starts == 0 ? "true" : "false") + line("link-mbps", "1000") + line("log-level", "info");
    text += line("stop-timeout-s", std::to_string(m_options.graceSeconds));
    text += "\n[listen]\n" + line("ingress", machine.outbound().text()) + line("sidecar", machine.inbound().text());
    text += line("registration", machine.control().text()) + line("readiness", machine.ready().text());
    text += line("peers", machine.address + ":" + std::to_string(InternalPort)) + line("metrics", machine.address + ":" + std::to_string(MetricsPort));
    text += "\n[target]\n" + line("address", machine.server().text()) + line("heartbeat-interval-s", "1.5");
    text += "\n[store]\n" + line("address", m_options.store.text());
    text += "\n[fleet]\n" + line("seeds", "") + line("repeat-share", std::to_string(m_options.retryRatio));
    text += line("repeat-slack", std::to_string(m_options.retrySlack)) + line("repeat-window-s", "10");
    text += "[rollouts]\n" + line("exposure-share", std::to_string(m_options.exposeShare));
    return text;
}

void Fleet::start(Machine &machine)
{
    const auto settings = m_folder + "/" + machine.name + ".ini";
    std::ofstream(settings) << settingsOf(machine);
    ++machine.starts;
    const auto log = m_folder + "/" + machine.name + ".log";
    machine.process = fork();
    if (machine.process != 0) {
        return;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    setenv("GALENAHILL_CONFIG", settings.c_str(), 1);
    execl(m_options.program.c_str(), m_options.program.c_str(), static_cast<char *>(nullptr));
    _exit(2);
}

void Fleet::startAll()
{
    for (const auto &machine : m_machines) {
        start(*machine);
    }
}

void Fleet::kill(Machine &machine)
{
    if (machine.process > 0) {
        ::kill(machine.process, SIGKILL);
        waitpid(machine.process, nullptr, 0);
        machine.process = 0;
    }
}

bool Fleet::isReady(const Machine &machine)
{
    const auto connection = connectTo(machine.ready());
    if (!connection || !connection->write("GET /ready HTTP/1.1\r\nHost: " + machine.ready().text() + "\r\n\r\n")) {
        return false;
    }
    const auto answer = connection->read(Seconds(1));
    return answer && answer->status() == 200;
}

bool Fleet::waitUntilReady(Seconds timeLimit)
{
    const auto until = Clock::now() + std::chrono::duration_cast<Clock::duration>(timeLimit);
    for (const auto &machine : m_machines) {
        while (!isReady(*machine)) {
            if (Clock::now() >= until) {
                return false;
            }
            sleepFor(Seconds(0.1));
        }
    }
    return true;
}

bool Fleet::hasEnded(Machine &machine)
{
    return machine.process > 0 && waitpid(machine.process, nullptr, WNOHANG) == machine.process;
}

}
