// CONFIG: a server in trouble sends a body without end. Requests to it outlast the timeout of their route, and get no final answer.
#include "day.h"

#include <random>

using namespace Review;

namespace {

constexpr const char *ServiceName = "tablero";
// One server of seven is in trouble.
constexpr int Machines = 7;
// Share of its requests to which it sends bytes without end.
constexpr double EndlessShare = 0.4;
// The server is in trouble for that long, and again after a pause.
constexpr Seconds TroubleTime{6};
constexpr Seconds TroublePause{1};

constexpr Seconds RouteTimeout{2};
// The rule's: an answer is final half a second after the timeout of the route.
constexpr Seconds Tolerance{0.5};
constexpr int DeadlineMs = 6000;
constexpr Seconds TrafficTime{80};
constexpr Seconds RequestInterval{0.2};
constexpr int ClientsPerMachine = 4;
// The rule's: eight or more, and over a quarter of those that last so long.
constexpr int LeastBroken = 8;
constexpr double BrokenShare = 0.25;

constexpr std::size_t FirstBytes = 100000;
constexpr std::size_t StatedBytes = 4000000;

struct Counts
{
    std::atomic<int> requests{0};
    std::atomic<int> beyondTimeout{0};
    std::atomic<int> withoutEnding{0};
    std::atomic<bool> stop{false};
};

Counts &counts()
{
    static Counts instance;
    return instance;
}

// Goes on until the caller closes.
void sendWithoutEnd(const Server &self, const Message &request, Connection &connection, bool chunked)
{
    const auto part = [chunked](std::size_t bytes) {
        char size[32];
        std::snprintf(size, sizeof(size), "%zx\r\n", bytes);
        const std::string text(bytes, 'x');
        return chunked ? size + text + "\r\n" : text;
    };
    const auto length = chunked ? std::string("Transfer-Encoding: chunked\r\n") : "Content-Length: " + std::to_string(StatedBytes) + "\r\n";
    bool open = connection.write("HTTP/1.1 200 OK\r\n" + self.answerFields(request) + length + "\r\n" + part(FirstBytes));
    while (open) {
        open = connection.sleepWhileOpen(Seconds(0.1)) && connection.write(part(100));
    }
    record().add("the caller closed the connection of " + request.field("Galenahill-Request-Id"));
}

bool run(const Server &self, const Message &request, Connection &connection, bool inTrouble)
{
    thread_local std::mt19937 random(std::random_device{}());
    const auto id = request.field("Galenahill-Request-Id");
    record().add("ran " + id + " at " + self.options().id);
    sleepFor(Seconds(0.05));
    if (!inTrouble || !isInWindow(TroubleTime, TroublePause) || !std::bernoulli_distribution(EndlessShare)(random)) {
        return connection.write(self.answer(request, "queue"));
    }
    const bool chunked = std::bernoulli_distribution(0.5)(random);
    record().add(std::string("bytes without end, ") + (chunked ? "in chunks: " : "of a stated length: ") + id);
    sendWithoutEnd(self, request, connection, chunked);
    return false;
}

void runClient(const Machine &machine)
{
    while (!counts().stop) {
        Request request;
        request.host = Host;
        request.path = "/queue/board";
        request.deadlineMs = DeadlineMs;
        record().add("sent " + request.id);
        const auto ending = sendOnce(machine.outbound(), request);
        ++counts().requests;
        counts().beyondTimeout += ending.time > RouteTimeout ? 1 : 0;
        const bool isLate = ending.time > RouteTimeout + Tolerance;
        counts().withoutEnding += isLate ? 1 : 0;
        record().add((ending.complete ? "answered " : "no complete answer to ") + request.id + ", status " + std::to_string(ending.status) + ", after "
            + std::to_string(ending.time.count()) + " s" + (isLate ? ": no final answer in time" : ""));
        sleepFor(RequestInterval);
    }
}

int runDay(Fleet &fleet, Store &store)
{
    store.put("config",
        "main",
        configuration(7, Host, {ServiceName}, {{.name = "r-queue", .prefix = "/queue/", .service = ServiceName, .timeoutSeconds = RouteTimeout.count()}}));
    for (int i = 0; i < Machines; ++i) {
        fleet.add(i % 2 == 0 ? "zone-a" : "zone-b", ServiceName);
    }
    fleet.startAll();
    for (std::size_t i = 0; i < Machines; ++i) {
        auto options = serverOn(fleet.machine(i));
        options.run = [inTrouble = hasTrouble() && i == 0](
                          const Server &self, const Message &request, Connection &connection) { return run(self, request, connection, inTrouble); };
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
    sleepFor(TrafficTime);
    counts().stop = true;
    for (auto &client : clients) {
        client.join();
    }
    const int late = counts().withoutEnding;
    const int beyond = counts().beyondTimeout;
    const bool isBroken = late >= LeastBroken && late > BrokenShare * beyond;
    const auto summary = std::to_string(counts().requests.load()) + " requests, " + std::to_string(beyond) + " beyond the timeout of the route, "
        + std::to_string(late) + " of them without a final answer half a second later";
    record().add(summary);
    std::printf("%s\n", summary.c_str());
    return isBroken ? 1 : 0;
}

}

int main(int argc, char **argv)
{
    return runCase(argc, argv, runDay);
}
