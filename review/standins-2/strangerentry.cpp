// EXPOSURE: another writer leaves an entry without fields among the roll-outs. A bad version is rolled out afterwards.
#include "day.h"

using namespace Review;

namespace {

constexpr const char *ServiceName = "tablero";
constexpr const char *BadVersion = "v2";

// From the bounds that the pages give: expose-share and expose-slack.
constexpr double ExposeShare = 0.1;
constexpr int ExposeSlack = 50;

constexpr Seconds RolloutTime{20};
constexpr Seconds RequestInterval{0.02};
constexpr Seconds WorkTime{0.01};
constexpr int DeadlineMs = 2000;
constexpr std::size_t Machines = 6;

struct Counts
{
    // Requests that reached the service between the order and its deadline, and those among them that reached the bad version.
    std::atomic<int> all{0};
    std::atomic<int> bad{0};
    std::atomic<int> badAnswers{0};
    std::atomic<bool> counting{false};
    std::atomic<bool> stop{false};
};

Counts &counts()
{
    static Counts instance;
    return instance;
}

// Half of the answers of the bad version are failures.
bool run(const Server &self, const Message &request, Connection &connection)
{
    const auto id = request.field("Galenahill-Request-Id");
    const bool isBad = self.options().version == BadVersion;
    const bool fails = isBad && std::hash<std::string>{}(id) % 2 == 0;
    if (counts().counting) {
        ++counts().all;
        counts().bad += isBad ? 1 : 0;
        counts().badAnswers += fails ? 1 : 0;
        record().add("ran " + id + " at " + self.options().id + (fails ? ", failed" : ""));
    }
    sleepFor(WorkTime);
    return connection.write(self.answer(request, "queue", fails ? 500 : 200));
}

void runClient(const Machine &machine)
{
    while (!counts().stop) {
        Request request;
        request.host = Host;
        request.path = "/queue/board";
        request.deadlineMs = DeadlineMs;
        const auto ending = sendOnce(machine.outbound(), request);
        if (counts().counting) {
            record().add("sent " + request.id + ", answered with " + std::to_string(ending.status));
        }
        sleepFor(RequestInterval);
    }
}

void startServers(Fleet &fleet, std::size_t from, const std::string &version)
{
    for (auto i = from; i < from + Machines / 2; ++i) {
        auto options = serverOn(fleet.machine(i));
        options.id += "-" + version;
        options.version = version;
        options.run = run;
        startServer(std::move(options));
    }
}

int judge(const Store::Json &status)
{
    const int all = counts().all;
    const int bad = counts().bad;
    const auto allowed = ExposeShare * all + ExposeSlack;
    char summary[200];
    std::snprintf(summary,
        sizeof(summary),
        "%d of %d requests reached the bad version with %d bad answers, allowed %.0f; status of the roll-out: %s",
        bad,
        all,
        counts().badAnswers.load(),
        allowed,
        status.dump().c_str());
    record().add(summary);
    std::printf("%s\n", summary);
    return bad > allowed ? 1 : 0;
}

int runDay(Fleet &fleet, Store &store)
{
    store.put("config", "main", configuration(7, Host, {ServiceName}, {{.name = "r-queue", .prefix = "/queue/", .service = ServiceName}}));
    for (std::size_t i = 0; i < Machines; ++i) {
        fleet.add(i % 2 == 0 ? "zone-a" : "zone-b", ServiceName);
    }
    fleet.startAll();
    startServers(fleet, 0, "v1");
    if (!fleet.waitUntilReady(Seconds(20))) {
        record().add("the nodes aren't ready");
        return 2;
    }
    std::vector<std::thread> clients;
    for (const auto &machine : fleet.machines()) {
        clients.emplace_back([&machine = *machine] { runClient(machine); });
    }
    sleepFor(Seconds(4));
    if (hasTrouble()) {
        record().add("another writer creates rollouts/{service}, without the fields of a roll-out");
        store.put("rollouts", "{service}", {{"note", "a template that wasn't filled in"}});
    }
    sleepFor(Seconds(4));
    startServers(fleet, Machines / 2, BadVersion);
    record().add("the operator orders the roll-out of v2");
    counts().counting = true;
    store.put("rollouts", ServiceName, {{"service", ServiceName}, {"target-version", BadVersion}, {"duration-s", RolloutTime.count()}});
    sleepFor(RolloutTime);
    counts().counting = false;
    counts().stop = true;
    for (auto &client : clients) {
        client.join();
    }
    return judge(store.status("rollouts", ServiceName));
}

}

int main(int argc, char **argv)
{
    return runCase(argc, argv, runDay);
}
