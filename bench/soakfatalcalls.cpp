#include "adapters/http/blockinghttpclient.h"
#include "platform/callheadernames.h"
#include "soak_p.h"
#include "soakcustomers.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <thread>

namespace Galenahill {

namespace {

constexpr Milliseconds CallTimeout{1500};
constexpr Milliseconds MaxPause{2500};
constexpr int Waves = 12;
constexpr Milliseconds MaxWavePause{300};
constexpr std::size_t MaxCopies = 2;

// Time in which calls that were running on a target end after its restart.
constexpr Milliseconds SettleTime{1000};

// No request may end more targets.
constexpr std::size_t MaxEndedTargets = 3;

// The request that a call repeats, by the call's id.
std::string contentOf(const std::string &id)
{
    return id.substr(0, id.rfind('-'));
}

}

// One request, which callers repeat at once through many nodes.
void Soak::sendFatalCalls(std::mt19937_64 &random, int content)
{
    const auto path = fmt::format("/cola/{}{}-{}", FatalMarker, content, random() % 2 == 0 ? "exit" : "abort");
    int call = 0;
    for (int wave = 0; wave < Waves; ++wave) {
        std::vector<std::thread> callers;
        const auto copies = wave == 0 ? 1 : 1 + random() % MaxCopies;
        callers.reserve(copies);
        for (std::size_t copy = 0; copy < copies; ++copy) {
            HttpRequest request(http::verb::get, path, 11);
            request.set(http::field::host, Host);
            request.set(http::field::authorization, fmt::format("Bearer {}", SoakCustomers::ValidKey));
            request.set(Platform::callHeaderNames().requestId, fmt::format("{}-{}-{}", FatalMarker, content, ++call));
            callers.emplace_back(
                [this, request = std::move(request), node = random() % m_nodes] { (void)blockingExchange(m_fleet.ingress(node), request, CallTimeout); });
        }
        for (auto &caller : callers) {
            caller.join();
        }
        std::this_thread::sleep_for(Milliseconds(random() % MaxWavePause.count()));
        restartEndedTargets();
    }
}

void Soak::restartEndedTargets()
{
    for (std::size_t node = 0; node < m_nodes; ++node) {
        const auto subject = fmt::format("target-{}", node);
        if (!claim(subject)) {
            continue;
        }
        if (!m_fleet.targetProcess(node).running()) {
            m_fleet.startTarget(node);
        }
        release(subject);
    }
}

void Soak::callFatally()
{
    std::mt19937_64 random(m_options.seed);
    while (Clock::now() - m_begin < m_length) {
        std::this_thread::sleep_for(Milliseconds(random() % MaxPause.count()));
        const auto began = Clock::now();
        recordFault(fmt::format("fatal request {}", ++m_fatalRequests));
        sendFatalCalls(random, m_fatalRequests);
        recordUnplanned(began, Clock::now() + SettleTime);
    }
}

// The targets' own records, not the nodes' logs, tell how many ended under one request, and whether it arrived afterwards.
void Soak::checkFatalCalls()
{
    std::map<std::string, std::vector<std::chrono::microseconds>> ends;
    const auto histories = m_fleet.targetHistories();
    for (const auto &target : histories) {
        for (const auto &call : target.fatalCalls) {
            ends[contentOf(call.value)].push_back(call.time);
            ++m_endedTargets;
        }
    }
    for (auto &[content, times] : ends) {
        if (times.size() > MaxEndedTargets) {
            addViolation("query-of-death", fmt::format("{} targets ended under request {}, at most {} may", times.size(), content, MaxEndedTargets));
        }
        if (times.size() < MaxEndedTargets) {
            continue;
        }
        std::sort(times.begin(), times.end());
        const auto last = times[MaxEndedTargets - 1];
        for (const auto &target : histories) {
            for (const auto &arrival : target.arrivals) {
                if (contentOf(arrival.value) == content && arrival.time > last) {
                    addViolation(
                        "query-of-death", fmt::format("{} arrived at {} after {} targets had ended under it", arrival.value, target.target, MaxEndedTargets));
                }
            }
        }
    }
}

}
