// LOST: a server truncates a large response. Requests that its client sent behind, and that run at sound servers, get no answer.
#include "day.h"

#include <random>
#include <set>

using namespace Review;

namespace {

constexpr const char *LargeService = "statements";
constexpr const char *SoundService = "balances";
constexpr int LargeServers = 2;
constexpr int SoundServers = 4;

constexpr std::size_t LargeBytes = 200000;
constexpr std::size_t TruncatedBytes = 100000;
// Share of the answers of the one faulty server that are broken off.
constexpr double TruncatedShare = 0.03;
// The server is faulty for that long, and again after a pause.
constexpr Seconds FaultTime{5};
constexpr Seconds FaultPause{1};

constexpr Seconds WorkTime{0.4};
constexpr Seconds LargeTime{0.05};
constexpr int DeadlineMs = 4000;
constexpr int SentBehind = 3;
constexpr int ClientsPerMachine = 6;
constexpr Seconds TrafficTime{50};
// More than three such requests break the rule.
constexpr int Allowed = 3;

struct Ledger
{
    std::mutex mutex;
    // Requests that a sound server has run.
    std::set<std::string> ran;
    std::set<std::string> unanswered;
    std::atomic<int> batches{0};
    std::atomic<bool> stop{false};
};

Ledger &ledger()
{
    static Ledger instance;
    return instance;
}

bool sendLarge(const Server &self, const Message &request, Connection &connection, bool isFaulty)
{
    thread_local std::mt19937 random(std::random_device{}());
    const auto id = request.field("Galenahill-Request-Id");
    const bool truncates = isFaulty && isInWindow(FaultTime, FaultPause) && std::bernoulli_distribution(TruncatedShare)(random);
    sleepFor(LargeTime);
    const auto whole = self.answer(request, std::string(LargeBytes, 's'));
    if (truncates) {
        record().add("broken off: " + id + " at " + self.options().id);
        connection.write(std::string_view(whole).substr(0, whole.size() - LargeBytes + TruncatedBytes));
        return false;
    }
    return connection.write(whole);
}

bool runSound(const Server &self, const Message &request, Connection &connection)
{
    const auto id = request.field("Galenahill-Request-Id");
    record().add("ran " + id + " at " + self.options().id);
    {
        const std::lock_guard lock(ledger().mutex);
        ledger().ran.insert(id);
    }
    sleepFor(WorkTime);
    return connection.write(self.answer(request, "balance"));
}

// Sends a large request and others behind it, and returns whether the connection can be used again.
bool sendBatch(Connection &connection)
{
    std::vector<Request> requests(1 + SentBehind);
    std::string text;
    for (auto &request : requests) {
        request.host = Host;
        request.path = &request == requests.data() ? "/statements/month" : "/balances/card";
        request.deadlineMs = DeadlineMs;
        text += request.text();
        record().add("sent " + request.id + " " + request.path);
    }
    ++ledger().batches;
    bool open = connection.write(text);
    for (const auto &request : requests) {
        auto head = open ? connection.readHead(Seconds(DeadlineMs / 1000.0)) : std::nullopt;
        open = head && connection.readBody(*head, Seconds(DeadlineMs / 1000.0));
        record().add((open ? "answered " : "no complete answer to ") + request.id);
        if (!open && request.path == "/balances/card") {
            const std::lock_guard lock(ledger().mutex);
            ledger().unanswered.insert(request.id);
        }
        open = open && head->field("Connection") != "close";
    }
    return open;
}

void runClient(const Machine &machine)
{
    std::unique_ptr<Connection> connection;
    while (!ledger().stop) {
        if (!connection) {
            connection = connectTo(machine.outbound());
        }
        if (!connection || !sendBatch(*connection)) {
            connection.reset();
            sleepFor(Seconds(0.05));
        }
    }
}

int countLost()
{
    // Those that were on their way to a server when the connection ended.
    sleepFor(Seconds(0.5));
    const std::lock_guard lock(ledger().mutex);
    int lost = 0;
    for (const auto &id : ledger().unanswered) {
        if (ledger().ran.contains(id)) {
            ++lost;
            record().add("LOST: " + id + " ran at a sound server, and its connection was closed without an answer");
        }
    }
    const auto summary = std::to_string(ledger().batches.load()) + " batches, " + std::to_string(lost) + " requests lost, allowed " + std::to_string(Allowed);
    record().add(summary);
    std::printf("%s\n", summary.c_str());
    return lost > Allowed ? 1 : 0;
}

int runDay(Fleet &fleet, Store &store)
{
    store.put("config",
        "main",
        configuration(7,
            Host,
            {LargeService, SoundService},
            {{.name = "r-statements", .prefix = "/statements/", .service = LargeService, .type = "download", .timeoutSeconds = 3},
                {.name = "r-balances", .prefix = "/balances/", .service = SoundService, .type = "safe", .timeoutSeconds = 3}}));
    for (int i = 0; i < LargeServers + SoundServers; ++i) {
        fleet.add("zone-a", i < LargeServers ? LargeService : SoundService);
    }
    fleet.startAll();
    for (std::size_t i = 0; i < LargeServers + SoundServers; ++i) {
        auto options = serverOn(fleet.machine(i));
        options.slots = 18;
        const bool isFaulty = hasTrouble() && i == 0;
        if (i < LargeServers) {
            options.run
                = [isFaulty](const Server &self, const Message &request, Connection &connection) { return sendLarge(self, request, connection, isFaulty); };
        } else {
            options.run = runSound;
        }
        startServer(std::move(options));
    }
    if (!fleet.waitUntilReady(Seconds(20))) {
        record().add("the nodes aren't ready");
        return 2;
    }
    sleepFor(Seconds(4));
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < LargeServers; ++i) {
        for (int client = 0; client < ClientsPerMachine; ++client) {
            clients.emplace_back([&machine = fleet.machine(i)] { runClient(machine); });
        }
    }
    sleepFor(TrafficTime);
    ledger().stop = true;
    for (auto &client : clients) {
        client.join();
    }
    return countLost();
}

}

int main(int argc, char **argv)
{
    return runCase(argc, argv, runDay);
}
