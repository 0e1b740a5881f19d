#include "lostchecks.h"

#include <algorithm>
#include <fmt/format.h>
#include <optional>

namespace Galenahill {

namespace {

// Bounds of the users' platform.
constexpr Milliseconds SettleTime{3000};
constexpr Milliseconds StopTimeout{6000};
constexpr Milliseconds LastPartOfStop = StopTimeout / 6;
constexpr Milliseconds AfterStop{1000};
constexpr Milliseconds SentAfterStop{3000};
constexpr Milliseconds ApplyTime{2500};
constexpr Milliseconds AfterConfiguration = ApplyTime + Milliseconds(1000);
constexpr Milliseconds UnsentLimit{200};
// The caller and the ingress state the time left in whole milliseconds.
constexpr Milliseconds DeadlineRounding{2};
constexpr double ConfigurationFactor = 3;
constexpr double ConfigurationTimeShare = 0.7;

// One execution of a call by a target.
struct Run
{
    std::size_t node = 0;
    TimePoint begin;
    // Not set if the target broke the run off.
    std::optional<TimePoint> end;
};

TimePoint timeOf(std::chrono::microseconds sinceBoot)
{
    return TimePoint(std::chrono::duration_cast<Clock::duration>(sinceBoot));
}

std::map<std::string, std::vector<Run>> runsByCall(const std::vector<TargetHistory> &targets)
{
    std::map<std::string, std::vector<Run>> runs;
    for (const auto &target : targets) {
        std::map<std::string, TimePoint> ends;
        for (const auto *list : {&target.responses, &target.cuts}) {
            for (const auto &event : *list) {
                ends.emplace(event.value, timeOf(event.time));
            }
        }
        for (const auto &execution : target.executions) {
            const auto end = ends.find(execution.value);
            runs[execution.value].push_back(
                {.node = target.node, .begin = timeOf(execution.time), .end = end == ends.end() ? std::nullopt : std::optional(end->second)});
        }
    }
    return runs;
}

std::map<std::string, std::vector<TimePoint>> arrivalsByCall(const std::vector<TargetHistory> &targets)
{
    std::map<std::string, std::vector<TimePoint>> arrivals;
    for (const auto &target : targets) {
        for (const auto &arrival : target.arrivals) {
            arrivals[arrival.value].push_back(timeOf(arrival.time));
        }
    }
    return arrivals;
}

class LostCallFinder
{
public:
    explicit LostCallFinder(const LostRecords &records)
        : m_records(records)
        , m_runs(runsByCall(records.targets))
        , m_arrivals(arrivalsByCall(records.targets))
    {
        countCuts();
    }

    LostCalls find() const;

private:
    struct CutCounts
    {
        double calls = 0;
        double cuts = 0;

        double share() const
        {
            return calls > 0 ? cuts / calls : 0;
        }
    };

    const std::vector<Run> &runsOf(const CallRecord &call) const;
    TimePoint deadlineOf(const CallRecord &call) const;
    bool disrupted(const CallRecord &call) const;
    bool brokenOff(const CallRecord &call) const;
    bool excused(const CallRecord &call) const;
    bool runsAtEndOfStop(const CallRecord &call, const PlannedWork &stop) const;
    bool cut(const CallRecord &call) const;
    bool cutAroundSignal(const CallRecord &call) const;
    bool nearConfiguration(const CallRecord &call) const;
    bool cutAroundConfiguration(const CallRecord &call) const;
    bool answeredInPlaceOfTarget(const CallRecord &call) const;
    bool ownAnswerAfterRun(const CallRecord &call) const;
    bool produced(const CallRecord &call) const;
    void countCuts();
    std::string describe(const CallRecord &call, const char *what) const;

    const LostRecords &m_records;
    std::map<std::string, std::vector<Run>> m_runs;
    std::map<std::string, std::vector<TimePoint>> m_arrivals;
    // Calls of each node near a configuration and at other times.
    std::map<std::size_t, CutCounts> m_nearConfiguration;
    std::map<std::size_t, CutCounts> m_otherTimes;
};

const std::vector<Run> &LostCallFinder::runsOf(const CallRecord &call) const
{
    static const std::vector<Run> none;
    const auto runs = m_runs.find(call.id);
    return runs == m_runs.end() ? none : runs->second;
}

TimePoint LostCallFinder::deadlineOf(const CallRecord &call) const
{
    const auto route = m_records.routeTimeouts.find(call.path);
    return call.sentAt + (route == m_records.routeTimeouts.end() ? call.timeout : std::min(call.timeout, route->second));
}

bool LostCallFinder::disrupted(const CallRecord &call) const
{
    return std::any_of(m_records.unplanned.begin(), m_records.unplanned.end(), [&](const auto &span) {
        return span.begin <= call.endedAt && span.end >= call.sentAt - SettleTime;
    });
}

bool LostCallFinder::brokenOff(const CallRecord &call) const
{
    const auto &runs = runsOf(call);
    return std::any_of(runs.begin(), runs.end(), [](const auto &run) { return !run.end; });
}

bool LostCallFinder::excused(const CallRecord &call) const
{
    return call.endedAt >= deadlineOf(call) - DeadlineRounding || disrupted(call) || brokenOff(call);
}

bool LostCallFinder::runsAtEndOfStop(const CallRecord &call, const PlannedWork &stop) const
{
    const auto lastPart = stop.begin + StopTimeout - LastPartOfStop;
    const auto &runs = runsOf(call);
    return call.sentAt <= stop.begin + SentAfterStop && call.endedAt >= lastPart
        && std::any_of(runs.begin(), runs.end(), [&](const auto &run) { return run.begin <= call.endedAt && run.end && *run.end >= lastPart; });
}

// Whether the connection ended without a complete response though the node had to answer.
bool LostCallFinder::cut(const CallRecord &call) const
{
    if (call.end != CallEnd::ClosedBeforeResponse && call.end != CallEnd::ClosedInResponse) {
        return false;
    }
    const auto arrivals = m_arrivals.find(call.id);
    const bool passedOn
        = arrivals != m_arrivals.end() && std::any_of(arrivals->second.begin(), arrivals->second.end(), [&](const auto &time) { return time <= call.endedAt; });
    return passedOn || call.endedAt - call.sentAt > UnsentLimit;
}

bool LostCallFinder::cutAroundSignal(const CallRecord &call) const
{
    return cut(call) && std::any_of(m_records.planned.begin(), m_records.planned.end(), [&](const auto &work) {
        if (work.kind == PlannedWork::Kind::Configuration || work.node != call.ingress || call.endedAt < work.begin) {
            return false;
        }
        return work.kind == PlannedWork::Kind::Reload ? call.sentAt <= work.begin + ApplyTime
                                                      : call.endedAt <= work.begin + StopTimeout + AfterStop && !runsAtEndOfStop(call, work);
    });
}

bool LostCallFinder::nearConfiguration(const CallRecord &call) const
{
    return std::any_of(m_records.planned.begin(), m_records.planned.end(), [&](const auto &work) {
        return work.kind == PlannedWork::Kind::Configuration && call.endedAt >= work.begin && call.endedAt <= work.end + AfterConfiguration;
    });
}

void LostCallFinder::countCuts()
{
    for (const auto &call : m_records.calls) {
        auto &counts = (nearConfiguration(call) ? m_nearConfiguration : m_otherTimes)[call.ingress];
        counts.calls += 1;
        counts.cuts += cut(call) ? 1 : 0;
    }
}

bool LostCallFinder::cutAroundConfiguration(const CallRecord &call) const
{
    if (!cut(call) || !nearConfiguration(call)) {
        return false;
    }
    const auto others = m_otherTimes.find(call.ingress);
    const double otherShare = others == m_otherTimes.end() ? 0 : others->second.share();
    const auto limit = std::chrono::duration<double>(deadlineOf(call) - call.sentAt) * ConfigurationTimeShare;
    return m_nearConfiguration.at(call.ingress).share() > ConfigurationFactor * otherShare && call.endedAt - call.sentAt < limit;
}

// Whether a node that is being stopped, on either side of the call, answered while the target was at work.
bool LostCallFinder::answeredInPlaceOfTarget(const CallRecord &call) const
{
    if (call.end != CallEnd::Response || call.outcome == CallOutcome::Answered || !call.target.empty()) {
        return false;
    }
    const auto &runs = runsOf(call);
    return std::any_of(runs.begin(), runs.end(), [&](const auto &run) {
        const bool atWork = run.begin <= call.endedAt && run.end && *run.end > call.endedAt;
        return atWork && std::any_of(m_records.planned.begin(), m_records.planned.end(), [&](const auto &work) {
            return work.kind == PlannedWork::Kind::Stop && (work.node == call.ingress || work.node == run.node) && call.endedAt >= work.begin
                && call.endedAt <= work.begin + StopTimeout + AfterStop && !runsAtEndOfStop(call, work);
        });
    });
}

bool LostCallFinder::ownAnswerAfterRun(const CallRecord &call) const
{
    const auto &runs = runsOf(call);
    return (call.status == 502 || call.status == 504) && call.target.empty()
        && std::any_of(runs.begin(), runs.end(), [&](const auto &run) { return run.begin <= call.endedAt; });
}

// Whether a target had produced the response before the call ended without it.
bool LostCallFinder::produced(const CallRecord &call) const
{
    const auto &runs = runsOf(call);
    return std::any_of(runs.begin(), runs.end(), [&](const auto &run) { return run.end && *run.end <= call.endedAt; });
}

std::string LostCallFinder::describe(const CallRecord &call, const char *what) const
{
    const auto sinceSent = [&](TimePoint time) { return std::chrono::duration<double>(time - call.sentAt).count(); };
    std::string runs;
    for (const auto &run : runsOf(call)) {
        runs += fmt::format(
            "; beside node {} it ran from {:.3f} s {}", run.node, sinceSent(run.begin), run.end ? fmt::format("to {:.3f} s", sinceSent(*run.end)) : "");
    }
    std::string work;
    for (const auto &planned : m_records.planned) {
        const auto window = planned.kind == PlannedWork::Kind::Configuration ? AfterConfiguration : StopTimeout + AfterStop;
        if (planned.begin <= call.endedAt && planned.begin + window >= call.endedAt) {
            static constexpr const char *Names[] = {"SIGTERM of node", "SIGHUP of node", "configuration"};
            const auto *name = Names[static_cast<std::size_t>(planned.kind)];
            const bool near = planned.kind == PlannedWork::Kind::Configuration || planned.node == call.ingress
                || std::any_of(runsOf(call).begin(), runsOf(call).end(), [&](const auto &run) { return run.node == planned.node; });
            const auto node = planned.kind == PlannedWork::Kind::Configuration ? std::string() : fmt::format(" {}", planned.node);
            work += near ? fmt::format("; {}{} at {:.3f} s", name, node, sinceSent(planned.begin)) : "";
        }
    }
    return fmt::format("call {} {} sent to node {} {} at {:.3f} s of {:.3f} with status {} and {} bytes{}{}",
        call.id,
        call.path,
        call.ingress,
        what,
        sinceSent(call.endedAt),
        sinceSent(deadlineOf(call)),
        call.status,
        call.receivedBytes,
        runs,
        work);
}

LostCalls LostCallFinder::find() const
{
    LostCalls found;
    for (const auto &call : m_records.calls) {
        if (call.end == CallEnd::NotSent || call.end == CallEnd::TimedOut || call.outcome == CallOutcome::Answered || excused(call)) {
            continue;
        }
        const bool own = ownAnswerAfterRun(call);
        found.ownAnswers += own ? 1 : 0;
        const bool cutAroundWork = cutAroundSignal(call) || cutAroundConfiguration(call);
        const bool replaced = answeredInPlaceOfTarget(call);
        if (cutAroundWork || replaced) {
            found.aroundPlannedWork.push_back(describe(call, cutAroundWork ? "was cut" : "was answered in place of its target"));
        }
        if (call.responseBytes > 0 && (own || (cut(call) && produced(call) && !cutAroundWork))) {
            found.largeResponses.push_back(describe(call, own ? "got an answer of the node's own" : "was cut"));
        }
    }
    return found;
}

}

LostCalls lostCalls(const LostRecords &records)
{
    return LostCallFinder(records).find();
}

}
