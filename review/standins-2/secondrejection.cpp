// TWICE and REFUSED: a server that rejects a health check sends the rejection a second time, at the point where the next response is expected.
#include "day.h"

#include <map>
#include <random>
#include <set>

using namespace Review;

namespace {

constexpr const char *ServiceName = "ventas";
constexpr int Machines = 36;

// What each server takes; it states this in its answers.
constexpr const char *StatedLimit = "0.22";
// A server rejects what comes sooner after the last request that it has run; slightly less than the stated limit asks for.
constexpr Seconds LeastInterval{4.52};
constexpr Seconds WorkTime{0.4};
// Share of the answers that are sent a second time, and share of the servers that do so.
constexpr double ExtraShare = 0.03;
constexpr int ServersWithExtra = Machines * 6 / 10;
// They do so for that long, and again after a pause.
constexpr Seconds ExtraTime{5};
constexpr Seconds ExtraPause{1};

constexpr int DeadlineMs = 10000;
constexpr Seconds RequestInterval{2};
constexpr Seconds TrafficTime{85};

// The runs and the answers of the requests, by their ids.
struct Ledger
{
    std::mutex mutex;
    std::map<std::string, std::vector<std::string>> runs;
    std::map<std::string, int> answers;
    std::atomic<bool> stop{false};
};

Ledger &ledger()
{
    static Ledger instance;
    return instance;
}

// The state of one server.
struct Need
{
    std::mutex mutex;
    Clock::time_point lastRun;
    bool sendsExtra = false;

    bool takesNow()
    {
        const std::lock_guard lock(mutex);
        if (Clock::now() - lastRun < LeastInterval) {
            return false;
        }
        lastRun = Clock::now();
        return true;
    }
};

// Each connection has a thread of its own: the answer that comes a second time where the next one is expected.
thread_local std::string secondCopy;

bool send(Connection &connection, const std::string &answer, const Need &need, const std::string &what)
{
    thread_local std::mt19937 random(std::random_device{}());
    if (need.sendsExtra && isInWindow(ExtraTime, ExtraPause) && std::bernoulli_distribution(ExtraShare)(random)) {
        secondCopy = answer;
        record().add("comes a second time: " + what);
    }
    return connection.write(answer);
}

void sendSecondCopy(Connection &connection, const std::string &before)
{
    if (!secondCopy.empty()) {
        record().add("second copy sent after the arrival of " + before);
        connection.write(std::exchange(secondCopy, {}));
    }
}

std::string rejection()
{
    return response(503, std::string("Galenahill-Not-Executed: 1\r\nServer-Limit: ") + StatedLimit + "\r\n", "full");
}

bool checkHealth(const Server &self, Connection &connection, Need &need)
{
    sendSecondCopy(connection, "a health check");
    const bool takes = need.takesNow();
    record().add("health check at " + self.options().id + (takes ? " answered" : " rejected"));
    const auto well = "Galenahill-Instance-Id: " + self.options().id + "\r\nServer-Limit: " + StatedLimit + "\r\n";
    return send(connection, takes ? response(200, well, "ok") : rejection(), need, "the answer to a health check at " + self.options().id);
}

bool run(const Server &self, const Message &request, Connection &connection, Need &need)
{
    const auto id = request.field("Galenahill-Request-Id");
    sendSecondCopy(connection, id);
    if (!need.takesNow()) {
        record().add("rejected " + id + " at " + self.options().id);
        return send(connection, rejection(), need, "the rejection of " + id);
    }
    record().add("ran " + id + " at " + self.options().id);
    {
        const std::lock_guard lock(ledger().mutex);
        ledger().runs[id].push_back(self.options().id);
    }
    sleepFor(WorkTime);
    const auto fields = self.answerFields(request) + "Server-Limit: " + StatedLimit + "\r\n";
    return send(connection, response(200, fields, "booked"), need, "the answer to " + id);
}

void runClient(const Machine &machine)
{
    std::mt19937 random(std::random_device{}());
    while (!ledger().stop) {
        sleepFor(RequestInterval * std::uniform_real_distribution<>(0.5, 1.5)(random));
        std::thread([&machine] {
            Request request;
            request.method = "POST";
            request.host = Host;
            request.path = "/orders/confirm";
            request.body = "order";
            request.deadlineMs = DeadlineMs;
            record().add("sent " + request.id);
            const auto ending = sendOnce(machine.outbound(), request);
            record().add("answered " + request.id + " with " + std::to_string(ending.status));
            const std::lock_guard lock(ledger().mutex);
            ledger().answers[request.id] = ending.status;
        }).detach();
    }
}

int countBroken()
{
    const std::set<int> promises{408, 421, 429, 503};
    const std::lock_guard lock(ledger().mutex);
    int broken = 0;
    for (const auto &[id, servers] : ledger().runs) {
        if (servers.size() > 1) {
            ++broken;
            record().add("TWICE: " + id + " ran at " + servers[0] + " and at " + servers[1]);
        }
        const auto answer = ledger().answers.find(id);
        if (answer != ledger().answers.end() && promises.contains(answer->second)) {
            ++broken;
            record().add("REFUSED: " + id + " ran at " + servers[0] + " and was answered with " + std::to_string(answer->second));
        }
    }
    record().add(std::to_string(ledger().runs.size()) + " requests ran, " + std::to_string(broken) + " times a rule was broken");
    std::printf("%zu requests ran, %d times a rule was broken\n", ledger().runs.size(), broken);
    return broken;
}

int runDay(Fleet &fleet, Store &store)
{
    store.put("config",
        "main",
        configuration(7,
            Host,
            {ServiceName},
            {{.name = "r-confirm",
                .prefix = "/orders/",
                .service = ServiceName,
                .type = "unsafe",
                .timeoutSeconds = DeadlineMs / 1000.0,
                .attempts = 2,
                .targetLatencySeconds = 0}}));
    for (int i = 0; i < Machines; ++i) {
        fleet.add(i % 2 == 0 ? "zone-a" : "zone-b", ServiceName);
    }
    fleet.startAll();
    static std::vector<std::unique_ptr<Need>> needs;
    for (int i = 0; i < Machines; ++i) {
        needs.push_back(std::make_unique<Need>());
        needs.back()->sendsExtra = hasTrouble() && i < ServersWithExtra;
        auto options = serverOn(fleet.machine(static_cast<std::size_t>(i)));
        options.run
            = [need = needs.back().get()](const Server &self, const Message &request, Connection &connection) { return run(self, request, connection, *need); };
        options.health = [need = needs.back().get()](const Server &self, Connection &connection) { return checkHealth(self, connection, *need); };
        startServer(std::move(options));
    }
    if (!fleet.waitUntilReady(Seconds(20))) {
        record().add("the nodes aren't ready");
        return 2;
    }
    sleepFor(Seconds(2));
    std::vector<std::thread> clients;
    for (const auto &machine : fleet.machines()) {
        clients.emplace_back([&machine = *machine] { runClient(machine); });
    }
    sleepFor(TrafficTime);
    ledger().stop = true;
    for (auto &client : clients) {
        client.join();
    }
    sleepFor(Seconds(DeadlineMs / 1000.0 + 0.5));
    return countBroken() > 0 ? 1 : 0;
}

}

int main(int argc, char **argv)
{
    return runCase(argc, argv, runDay);
}
