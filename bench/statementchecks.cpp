#include "statementchecks.h"

#include "core/calls/statedratelimit.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <optional>

namespace Galenahill {

namespace {

using Microseconds = std::chrono::microseconds;

// Bounds of the users' platform.
constexpr Microseconds SettleTime{3'000'000};
constexpr Microseconds Window{4'000'000};
constexpr Microseconds NoticeTime{500'000};
constexpr Microseconds DrainTime{2'000'000};
constexpr double LimitFactor = 1.5;
constexpr double LimitSlack = 5;

constexpr Microseconds Forever = Microseconds::max();

Microseconds sinceBoot(TimePoint time)
{
    return std::chrono::duration_cast<Microseconds>(time.time_since_epoch());
}

// Times in which a node knows of a statement of one target: from the response that it passed on until
// its next disruption.
class Notices
{
public:
    Notices(const StatementRecords &records, const std::string &target, bool (*states)(const CallRecord &))
    {
        for (const auto &call : records.calls) {
            if (call.target == target && states(call)) {
                const auto until = firstDisruption(records, call.ingress, call.endedAt);
                m_spans[call.ingress].push_back({sinceBoot(call.endedAt), until});
            }
        }
    }

    // Whether the node has known of the statement at that time for at least as long as given.
    bool known(std::size_t node, Microseconds time, Microseconds age) const
    {
        const auto spans = m_spans.find(node);
        return spans != m_spans.end()
            && std::any_of(spans->second.begin(), spans->second.end(), [&](const auto &span) { return span.first + age <= time && time < span.second; });
    }

private:
    static Microseconds firstDisruption(const StatementRecords &records, std::size_t node, TimePoint after)
    {
        auto first = Forever;
        for (const auto &disruption : records.disruptions) {
            if (disruption.node == node && disruption.end > after) {
                first = std::min(first, sinceBoot(disruption.begin));
            }
        }
        return first;
    }

    std::map<std::size_t, std::vector<std::pair<Microseconds, Microseconds>>> m_spans;
};

std::map<std::string, const CallRecord *> byId(const std::vector<CallRecord> &calls)
{
    std::map<std::string, const CallRecord *> found;
    for (const auto &call : calls) {
        found.emplace(call.id, &call);
    }
    return found;
}

// A span of one target's history in which it stated limits without a break.
struct LimitedSpan
{
    std::vector<std::pair<Microseconds, double>> limits;
    Microseconds end = Forever;

    // The highest limit stated between the times.
    double highest(Microseconds from, Microseconds to) const
    {
        double highest = 0;
        for (std::size_t i = 0; i < limits.size(); ++i) {
            const auto until = i + 1 < limits.size() ? limits[i + 1].first : end;
            if (limits[i].first <= to && until > from) {
                highest = std::max(highest, limits[i].second);
            }
        }
        return highest;
    }
};

std::vector<LimitedSpan> limitedSpans(const TargetHistory &target)
{
    std::vector<LimitedSpan> spans;
    for (const auto &event : target.rateLimits) {
        const bool open = !spans.empty() && spans.back().end == Forever;
        if (event.value == "none") {
            if (open) {
                spans.back().end = event.time;
            }
            continue;
        }
        // A malformed value states nothing.
        const auto limit = parseRate(event.value);
        if (!limit) {
            continue;
        }
        if (!open) {
            spans.emplace_back();
        }
        spans.back().limits.emplace_back(event.time, limit->value());
    }
    return spans;
}

std::vector<Microseconds> countedArrivals(
    const TargetHistory &target, const LimitedSpan &span, const std::map<std::string, const CallRecord *> &calls, const Notices &notices)
{
    const auto from = span.limits.front().first + SettleTime;
    std::vector<Microseconds> times;
    for (const auto &arrival : target.arrivals) {
        const auto call = calls.find(arrival.value);
        const bool counts = arrival.time >= from && arrival.time < span.end && call != calls.end();
        if (counts && notices.known(call->second->ingress, arrival.time, NoticeTime)) {
            times.push_back(arrival.time);
        }
    }
    std::sort(times.begin(), times.end());
    return times;
}

std::optional<std::string> firstExcess(const TargetHistory &target, const LimitedSpan &span, const std::vector<Microseconds> &arrivals)
{
    std::size_t first = 0;
    for (std::size_t last = 0; last < arrivals.size(); ++last) {
        while (arrivals[last] - arrivals[first] >= Window) {
            ++first;
        }
        const auto count = last - first + 1;
        const auto limit = span.highest(arrivals[last] - Window - NoticeTime, arrivals[last]);
        const auto allowed = LimitFactor * limit * std::chrono::duration<double>(Window).count() + LimitSlack;
        if (static_cast<double>(count) > allowed) {
            return fmt::format("target {} with a limit of {} a second got {} calls within 4 s up to {} us; allowed {:.0f}",
                target.target,
                limit,
                count,
                arrivals[last].count(),
                allowed);
        }
    }
    return std::nullopt;
}

}

std::vector<std::string> rateLimitViolations(const StatementRecords &records)
{
    const auto calls = byId(records.calls);
    std::vector<std::string> violations;
    for (const auto &target : records.targets) {
        const Notices notices(records, target.target, [](const CallRecord &call) { return !call.statedRateLimit.empty(); });
        for (const auto &span : limitedSpans(target)) {
            if (auto excess = firstExcess(target, span, countedArrivals(target, span, calls, notices))) {
                violations.push_back(std::move(*excess));
            }
        }
    }
    return violations;
}

std::vector<std::string> leavingViolations(const StatementRecords &records)
{
    const auto calls = byId(records.calls);
    std::vector<std::string> violations;
    for (const auto &target : records.targets) {
        const Notices notices(records, target.target, [](const CallRecord &call) { return call.statedLeaving; });
        for (const auto &arrival : target.arrivals) {
            const auto call = calls.find(arrival.value);
            if (call != calls.end() && notices.known(call->second->ingress, sinceBoot(call->second->sentAt), DrainTime)) {
                violations.push_back(fmt::format("call {} reached target {} more than {} s after node {} had passed on that it is leaving",
                    arrival.value,
                    target.target,
                    DrainTime.count() / 1'000'000,
                    call->second->ingress));
            }
        }
    }
    return violations;
}

}
