#include "reconciliation.h"

#include "adapters/http/blockinghttpclient.h"

#include <sstream>
#include <unordered_map>

namespace Galenahill {

namespace {

constexpr Milliseconds LedgerTimeout{10000};

std::unordered_map<std::string, std::size_t> readLedgers(const Fleet &fleet)
{
    std::unordered_map<std::string, std::size_t> executions;
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        HttpRequest request(http::verb::get, "/ledger", 11);
        request.set(http::field::host, toString(fleet.target(node)));
        const auto response = blockingExchange(fleet.target(node), std::move(request), LedgerTimeout);
        if (!response) {
            continue;
        }
        std::istringstream lines(response->body());
        std::string id;
        while (std::getline(lines, id)) {
            ++executions[id];
        }
    }
    return executions;
}

}

Reconciliation reconcile(const Fleet &fleet, const std::vector<CallRecord> &records)
{
    const auto executions = readLedgers(fleet);
    Reconciliation result;
    result.sent = records.size();
    for (const auto &record : records) {
        const auto found = executions.find(record.id);
        const auto runs = found == executions.end() ? 0 : found->second;
        result.answered += record.outcome == CallOutcome::Answered ? 1 : 0;
        result.notRun += record.outcome == CallOutcome::NotRun ? 1 : 0;
        result.unknown += record.outcome == CallOutcome::Unknown ? 1 : 0;
        result.mismatched += record.outcome == CallOutcome::Mismatched ? 1 : 0;
        result.runTwice += !record.idempotent && runs > 1 ? 1 : 0;
        result.refusedButRun += record.outcome == CallOutcome::NotRun && runs > 0 ? 1 : 0;
        result.answeredButNotRun += record.outcome == CallOutcome::Answered && runs == 0 ? 1 : 0;
    }
    return result;
}

}
