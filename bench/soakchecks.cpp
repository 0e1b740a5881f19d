#include "soak_p.h"
#include "soakcustomers.h"

#include <fmt/format.h>
#include <map>

namespace Galenahill {

void Soak::checkCalls(const std::vector<CallRecord> &records)
{
    std::map<std::string, int> runs;
    for (const auto &id : m_fleet.executedCalls()) {
        ++runs[id];
    }
    for (const auto &record : records) {
        const auto count = runs.contains(record.id) ? runs.at(record.id) : 0;
        if (!record.idempotent && count > 1) {
            addViolation("at-most-once", fmt::format("non-idempotent call {} ran {} times", record.id, count));
        }
        if (record.outcome == CallOutcome::NotRun && record.status != 0 && count > 0) {
            addViolation("not-run", fmt::format("call {} was rejected with status {}, but ran", record.id, record.status));
        }
        if (record.outcome == CallOutcome::Mismatched) {
            addViolation("own-answer", record.id + " got the response to another call");
        }
        if (record.status == 404 && record.path != SoakCustomers::TemporaryPath) {
            addViolation("known-route", record.id + " got status 404 for a route that every revision has");
        }
    }
}

void Soak::checkStatements(const std::vector<CallRecord> &records)
{
    const StatementRecords all{.targets = m_fleet.targetHistories(), .calls = records, .disruptions = m_disruptions};
    for (auto &violation : rateLimitViolations(all)) {
        addViolation("rate-limit", std::move(violation));
    }
    for (auto &violation : leavingViolations(all)) {
        addViolation("leaving", std::move(violation));
    }
}

// Limits of customers are not checked yet; their counts per customer belong here.
void Soak::checkCustomers(const std::vector<CallRecord> &records, const std::set<std::string> &rejectedKeys)
{
    const CustomerRecords all{
        .targets = m_fleet.targetHistories(), .calls = records, .customerOfKey = SoakCustomers::customerOfKey(), .rejectedKeys = rejectedKeys};
    for (auto &violation : customerViolations(all)) {
        addViolation("customers", std::move(violation));
    }
    for (const auto &record : records) {
        if (rejectedKeys.contains(record.key) && record.outcome == CallOutcome::Answered) {
            addViolation("customers", fmt::format("call {} with a rejected key was answered", record.id));
        }
    }
}

void Soak::checkLost(const std::vector<CallRecord> &records)
{
    m_lost = lostCalls({.targets = m_fleet.targetHistories(),
        .calls = records,
        .planned = m_plannedWork,
        .unplanned = m_unplanned,
        .routeTimeouts = SoakCustomers::routeTimeouts()});
    for (const auto &description : m_lost.aroundPlannedWork) {
        addViolation("lost", description);
    }
    for (const auto &description : m_lost.largeResponses) {
        addViolation("large-response", description);
    }
}

}
