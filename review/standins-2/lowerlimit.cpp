// LOST: the operator lowers the limit for headers while clients have sent many requests ahead. The nodes' processes end.
#include "day.h"

#include <deque>
#include <set>

using namespace Review;

namespace {

constexpr const char *ServiceName = "tablero";
constexpr std::size_t Machines = 4;

// The limit of the first configuration and that of the second; all headers that clients send are shorter than either.
constexpr int FirstHeaderBytes = 65536;
constexpr int SecondHeaderBytes = 16384;
constexpr std::size_t CookieBytes = 1200;

// Requests that a client has sent and that aren't answered yet.
constexpr std::size_t Outstanding = 40;
constexpr int ClientsPerMachine = 2;
constexpr Seconds WorkTime{0.3};
constexpr int DeadlineMs = 8000;
constexpr int SuccessStatus = 200;
constexpr Seconds RetryTime{0.2};
// More than three lost requests break the rule.
constexpr int Allowed = 3;

struct Ledger
{
    std::mutex mutex;
    std::set<std::string> ran;
    std::set<std::string> unanswered;
    int answered = 0;
    std::atomic<bool> stop{false};
};

Ledger &ledger()
{
    static Ledger instance;
    return instance;
}

bool run(const Server &self, const Message &request, Connection &connection)
{
    const auto id = request.field("Galenahill-Request-Id");
    record().add("ran " + id + " at " + self.options().id);
    {
        const std::lock_guard lock(ledger().mutex);
        ledger().ran.insert(id);
    }
    sleepFor(WorkTime);
    return connection.write(self.answer(request, "queue"));
}

Request makeRequest()
{
    Request request;
    request.host = Host;
    request.path = "/queue/board";
    request.deadlineMs = DeadlineMs;
    request.cookie = std::string(CookieBytes, 'c');
    return request;
}

// Keeps that many requests on their way on one connection until it ends.
void sendAhead(Connection &connection)
{
    std::deque<Request> sent;
    bool open = true;
    while (open && !(ledger().stop && sent.empty())) {
        while (open && !ledger().stop && sent.size() < Outstanding) {
            sent.push_back(makeRequest());
            record().add("sent " + sent.back().id);
            open = connection.write(sent.back().text());
        }
        const auto answer = connection.read(Seconds(DeadlineMs / 1000.0));
        open = answer && answer->field("Connection") != "close";
        if (answer) {
            record().add("answered " + sent.front().id + " with " + std::to_string(answer->status()));
            const std::lock_guard lock(ledger().mutex);
            ++ledger().answered;
            sent.pop_front();
        }
        if (answer && answer->status() != SuccessStatus) {
            sleepFor(RetryTime);
        }
    }
    const std::lock_guard lock(ledger().mutex);
    for (const auto &request : sent) {
        record().add("no answer to " + request.id + ": the connection ended");
        ledger().unanswered.insert(request.id);
    }
}

void runClient(const Machine &machine)
{
    while (!ledger().stop) {
        if (const auto connection = connectTo(machine.outbound())) {
            sendAhead(*connection);
        }
        sleepFor(Seconds(0.2));
    }
}

// The platform starts a process again that has ended.
int restartEnded(Fleet &fleet, Seconds time)
{
    int ends = 0;
    const auto until = Clock::now() + std::chrono::duration_cast<Clock::duration>(time);
    while (Clock::now() < until) {
        for (const auto &machine : fleet.machines()) {
            if (Fleet::hasEnded(*machine)) {
                ++ends;
                record().add("the process of " + machine->name + " has ended by itself");
                fleet.start(*machine);
            }
        }
        sleepFor(Seconds(0.1));
    }
    return ends;
}

int countLost(int ends)
{
    const std::lock_guard lock(ledger().mutex);
    int lost = 0;
    for (const auto &id : ledger().unanswered) {
        if (ledger().ran.contains(id)) {
            ++lost;
            record().add("LOST: " + id + " ran, and its connection ended without an answer");
        }
    }
    const auto summary = std::to_string(ledger().answered) + " requests answered, " + std::to_string(ends) + " processes ended by themselves, "
        + std::to_string(lost) + " requests lost, allowed " + std::to_string(Allowed);
    record().add(summary);
    std::printf("%s\n", summary.c_str());
    return lost > Allowed ? 1 : 0;
}

int runDay(Fleet &fleet, Store &store)
{
    const std::vector<Route> routes{{.name = "r-queue", .prefix = "/queue/", .service = ServiceName, .timeoutSeconds = DeadlineMs / 1000.0}};
    store.put("config", "main", configuration(7, Host, {ServiceName}, routes, FirstHeaderBytes));
    for (std::size_t i = 0; i < Machines; ++i) {
        fleet.add(i % 2 == 0 ? "zone-a" : "zone-b", ServiceName);
    }
    fleet.startAll();
    for (std::size_t i = 0; i < Machines; ++i) {
        auto options = serverOn(fleet.machine(i));
        options.slots = 60;
        options.run = run;
        startServer(std::move(options));
    }
    if (!fleet.waitUntilReady(Seconds(20))) {
        record().add("the nodes aren't ready");
        return 2;
    }
    sleepFor(Seconds(4));
    std::vector<std::thread> clients;
    for (const auto &machine : fleet.machines()) {
        for (int i = 0; i < ClientsPerMachine; ++i) {
            clients.emplace_back([&machine = *machine] { runClient(machine); });
        }
    }
    int ends = restartEnded(fleet, Seconds(8));
    record().add(hasTrouble() ? "the operator lowers max-header-bytes" : "the operator writes a version with the same limits");
    store.put("config", "main", configuration(9, Host, {ServiceName}, routes, hasTrouble() ? SecondHeaderBytes : FirstHeaderBytes));
    ends += restartEnded(fleet, Seconds(10));
    ledger().stop = true;
    for (auto &client : clients) {
        client.join();
    }
    return countLost(ends);
}

}

int main(int argc, char **argv)
{
    return runCase(argc, argv, runDay);
}
