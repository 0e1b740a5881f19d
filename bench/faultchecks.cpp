#include "faultchecks.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <set>
#include <unordered_map>

namespace Galenahill {

namespace {

constexpr Milliseconds LeavingGracePeriod{3000};
constexpr Milliseconds InForceLimit{13000};
constexpr int NoRouteStatus = 404;

// A call that was sent up to this long before a stop may still be in flight when the stop begins.
constexpr Milliseconds MaxCallTime{5000};

// A response or a retry may come up to this long after the end of a fault.
constexpr Milliseconds FaultEffectTime{2000};

std::unordered_map<std::string, std::vector<const LedgerEntry *>> executionsByCall(const FaultRunRecords &records)
{
    std::unordered_map<std::string, std::vector<const LedgerEntry *>> runs;
    for (const auto &entry : records.ledger) {
        runs[entry.call].push_back(&entry);
    }
    return runs;
}

TimePoint sentAt(const FaultRunRecords &records, const CallRecord &call)
{
    return records.begin + call.scheduled;
}

bool isPlannedStop(const FaultRecord &fault)
{
    return fault.kind == NodeStopFault || fault.kind == TargetDrainFault;
}

// Whether a fault other than a planned stop or a store fault overlaps the period. In that case a
// call without a response can't be attributed to a planned stop.
bool overlapsFault(const FaultRunRecords &records, TimePoint from, TimePoint to)
{
    return std::any_of(records.faults.begin(), records.faults.end(), [&](const FaultRecord &fault) {
        const bool store = fault.kind.rfind("platform-", 0) == 0;
        return !isPlannedStop(fault) && !store && fault.begin <= to && fault.end + FaultEffectTime >= from;
    });
}

TimePoint lastFaultEnd(const FaultRunRecords &records)
{
    auto last = records.begin;
    for (const auto &fault : records.faults) {
        last = std::max(last, fault.end);
    }
    return last;
}

void append(std::vector<Violation> &all, std::vector<Violation> more)
{
    all.insert(all.end(), more.begin(), more.end());
}

}

const HeadValue *highestHead(const FaultRunRecords &records)
{
    const auto last = std::max_element(
        records.heads.begin(), records.heads.end(), [](const HeadValue &left, const HeadValue &right) { return left.revision < right.revision; });
    return last == records.heads.end() ? nullptr : &*last;
}

std::vector<Violation> checkRevisionsNeverFall(const FaultRunRecords &records)
{
    std::vector<Violation> violations;
    std::map<std::size_t, Revision> highest;
    for (const auto &sample : records.samples) {
        if (sample.revision == Revision()) {
            continue;
        }
        auto &served = highest[sample.node];
        if (sample.revision < served) {
            violations.push_back({"revision-never-falls",
                fmt::format("node {} serves revision {} after revision {}", sample.node, sample.revision.value(), served.value()),
                sample.respondedAt});
        }
        // Reports each decrease once.
        served = sample.revision;
    }
    return violations;
}

std::vector<Violation> checkRoutesReachTheirService(const FaultRunRecords &records)
{
    std::vector<Violation> violations;
    std::unordered_map<std::string, const CallRecord *> calls;
    for (const auto &call : records.calls) {
        calls[call.id] = &call;
        if (call.status == NoRouteStatus) {
            violations.push_back({"no-route-astray", fmt::format("call {} on {} was rejected for lack of a route", call.id, call.path), sentAt(records, call)});
        }
    }
    for (const auto &entry : records.ledger) {
        const auto call = calls.find(entry.call);
        const auto &service = records.services.at(entry.node);
        if (call == calls.end() || call->second->path.rfind("/" + service + "/", 0) != 0) {
            violations.push_back(
                {"no-route-astray", fmt::format("call {} ran at node {}, whose target belongs to service {}", entry.call, entry.node, service), entry.time});
        }
    }
    return violations;
}

std::vector<Violation> checkRevisionsComplete(const FaultRunRecords &records)
{
    std::set<std::pair<std::uint64_t, std::string>> accepted;
    for (const auto &head : records.heads) {
        accepted.emplace(head.revision.value(), head.digest.value());
    }
    std::vector<Violation> violations;
    for (const auto &sample : records.samples) {
        if (sample.revision != Revision() && !accepted.contains({sample.revision.value(), sample.digest.value()})) {
            violations.push_back({"all-or-nothing",
                fmt::format("node {} serves revision {} with digest {}, which is not a head that the store had",
                    sample.node,
                    sample.revision.value(),
                    sample.digest.value()),
                sample.respondedAt});
        }
    }
    return violations;
}

std::vector<Violation> checkResponsesMatchCalls(const FaultRunRecords &records)
{
    const auto runs = executionsByCall(records);
    std::vector<Violation> violations;
    for (const auto &call : records.calls) {
        if (call.outcome == CallOutcome::Mismatched) {
            violations.push_back({"own-answer", fmt::format("call {} got the response to another call or an incomplete one", call.id), sentAt(records, call)});
        }
        if (call.outcome == CallOutcome::Answered && !runs.contains(call.id)) {
            violations.push_back({"own-answer", fmt::format("call {} was answered, but no target ran it", call.id), sentAt(records, call)});
        }
    }
    return violations;
}

std::vector<Violation> checkRejections(const FaultRunRecords &records)
{
    const auto runs = executionsByCall(records);
    std::vector<Violation> violations;
    for (const auto &call : records.calls) {
        if (call.outcome == CallOutcome::NotRun && runs.contains(call.id)) {
            violations.push_back({"refused-not-run", fmt::format("call {} was rejected as not run, but ran", call.id), sentAt(records, call)});
        }
    }
    std::set<std::string> accepted;
    for (const auto &head : records.heads) {
        for (const auto &id : head.applies) {
            accepted.insert(id.value());
        }
    }
    for (const auto &apply : records.applies) {
        const bool rejected = apply.error && *apply.error != ErrorKind::OutcomeUnknown;
        if (apply.hasInvalidFile && (!apply.error || accepted.contains(apply.id.value()))) {
            violations.push_back({"refused-not-run", fmt::format("apply {} of an invalid file was accepted", apply.id.value()), apply.endedAt});
        }
        if (!apply.hasInvalidFile && rejected && accepted.contains(apply.id.value())) {
            violations.push_back({"refused-not-run", fmt::format("apply {} was rejected, but took effect", apply.id.value()), apply.endedAt});
        }
    }
    return violations;
}

std::vector<Violation> checkRunAtMostOnce(const FaultRunRecords &records)
{
    const auto runs = executionsByCall(records);
    std::vector<Violation> violations;
    for (const auto &call : records.calls) {
        const auto found = runs.find(call.id);
        if (!call.idempotent && found != runs.end() && found->second.size() > 1) {
            violations.push_back(
                {"at-most-once", fmt::format("non-idempotent call {} ran {} times", call.id, found->second.size()), found->second.at(1)->time});
        }
    }
    return violations;
}

std::vector<Violation> checkLeavingTargets(const FaultRunRecords &records, Milliseconds grace)
{
    std::vector<Violation> violations;
    for (const auto &fault : records.faults) {
        if (!isPlannedStop(fault)) {
            continue;
        }
        for (const auto &entry : records.ledger) {
            const bool atLeavingTarget = std::find(fault.nodes.begin(), fault.nodes.end(), entry.node) != fault.nodes.end();
            if (atLeavingTarget && entry.time > fault.begin + grace && entry.time < fault.end) {
                violations.push_back({"leaving-target",
                    fmt::format("call {} started at the target of node {}, which was leaving ({})", entry.call, entry.node, fault.kind),
                    entry.time});
            }
        }
    }
    return violations;
}

std::vector<Violation> checkPlannedStops(const FaultRunRecords &records)
{
    const auto runs = executionsByCall(records);
    std::vector<Violation> violations;
    for (const auto &stop : records.faults) {
        if (!isPlannedStop(stop)) {
            continue;
        }
        if (!stop.exitedCleanly) {
            violations.push_back(
                {"planned-stop", fmt::format("{} of node {}: the process did not exit with code 0 in time", stop.kind, stop.nodes.front()), stop.end});
        }
        for (const auto &call : records.calls) {
            const auto sent = sentAt(records, call);
            const auto ended = sent + call.latency;
            const bool within = sent >= stop.begin - MaxCallTime && sent <= stop.end && ended >= stop.begin;
            if (call.outcome != CallOutcome::Unknown || !within || overlapsFault(records, sent, ended)) {
                continue;
            }
            const auto found = runs.find(call.id);
            const bool ranAtStoppingNode = found != runs.end()
                && std::any_of(found->second.begin(), found->second.end(), [&](const auto *entry) { return entry->node == stop.nodes.front(); });
            const bool sentToStoppingIngress = stop.kind == NodeStopFault && call.ingress == stop.nodes.front();
            if (ranAtStoppingNode || sentToStoppingIngress) {
                violations.push_back({"planned-stop", fmt::format("call {} was interrupted by {} of node {}", call.id, stop.kind, stop.nodes.front()), ended});
            }
        }
    }
    return violations;
}

std::vector<Violation> checkAcceptedInForce(const FaultRunRecords &records, Milliseconds limit)
{
    const auto *head = highestHead(records);
    if (head == nullptr) {
        return {{"accepted-in-force", "the store has no head", records.begin}};
    }
    std::vector<Violation> violations;
    for (const auto &apply : records.applies) {
        const bool kept = std::find(head->applies.begin(), head->applies.end(), apply.id) != head->applies.end();
        if (!apply.error && !kept) {
            violations.push_back(
                {"accepted-in-force", fmt::format("apply {} was accepted, but is not part of the last head", apply.id.value()), apply.endedAt});
        }
    }
    auto settled = lastFaultEnd(records);
    for (const auto &apply : records.applies) {
        settled = std::max(settled, apply.endedAt);
    }
    const auto due = settled + limit;
    std::map<std::size_t, const StatusSample *> last;
    for (const auto &sample : records.samples) {
        const bool behind = sample.digest != head->digest;
        if (sample.requestedAt > due && behind) {
            violations.push_back({"accepted-in-force",
                fmt::format("node {} serves revision {} after the time limit; the last accepted revision is {}",
                    sample.node,
                    sample.revision.value(),
                    head->revision.value()),
                sample.respondedAt});
        }
        last[sample.node] = &sample;
    }
    for (const auto node : records.runningNodes) {
        const auto found = last.find(node);
        if (found == last.end() || found->second->digest != head->digest) {
            violations.push_back({"accepted-in-force",
                fmt::format("node {} does not serve revision {} at the end of the run", node, head->revision.value()),
                found == last.end() ? records.begin : found->second->respondedAt});
        }
    }
    return violations;
}

std::vector<Violation> checkAllGuarantees(const FaultRunRecords &records)
{
    std::vector<Violation> all;
    append(all, checkRevisionsNeverFall(records));
    append(all, checkRoutesReachTheirService(records));
    append(all, checkRevisionsComplete(records));
    append(all, checkResponsesMatchCalls(records));
    append(all, checkRejections(records));
    append(all, checkRunAtMostOnce(records));
    append(all, checkLeavingTargets(records, LeavingGracePeriod));
    append(all, checkPlannedStops(records));
    append(all, checkAcceptedInForce(records, InForceLimit));
    return all;
}

}
