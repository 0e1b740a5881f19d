#include "core/calls/transferorder.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace Galenahill {

TransferOrder::TransferOrder(std::vector<Transfer> transfers, TimePoint now, Clock::duration margin)
{
    rankFeasible(transfers, &Transfer::deadline, now, Rank::Late);
    const auto urgentTime = rankUrgent(transfers, now + margin);
    auto others = transfers;
    std::erase_if(others, [this](const auto &transfer) { return rankOf(transfer.ticket) != Rank::Late; });
    rankFeasible(std::move(others), &Transfer::objective, now + urgentTime, Rank::OnTime);
    const auto key = [this](const Transfer &transfer) {
        const auto rank = rankOf(transfer.ticket);
        const auto due = rank == Rank::Urgent ? transfer.deadline : rank == Rank::OnTime ? transfer.objective : TimePoint();
        return std::tuple(rank, due, transfer.linkTime);
    };
    std::stable_sort(transfers.begin(), transfers.end(), [&](const auto &left, const auto &right) { return key(left) < key(right); });
    for (const auto &transfer : transfers) {
        m_tickets.push_back(transfer.ticket);
    }
}

// Moore and Hodgson's algorithm: in the order of their due times, the longest so far is left out whenever
// one would be too late. That leaves out as few as possible. Those that have been started are left out last,
// since the link has been used for them.
void TransferOrder::rankFeasible(std::vector<Transfer> transfers, DueTime due, TimePoint begin, Rank rank)
{
    std::stable_sort(transfers.begin(), transfers.end(), [&](const auto &left, const auto &right) { return left.*due < right.*due; });
    std::set<std::tuple<bool, Clock::duration, ResponseTicket>> feasible;
    auto end = begin;
    for (const auto &transfer : transfers) {
        feasible.emplace(!transfer.started, transfer.linkTime, transfer.ticket);
        end += transfer.linkTime;
        if (end > transfer.*due) {
            const auto longest = std::prev(feasible.end());
            end -= std::get<Clock::duration>(*longest);
            feasible.erase(longest);
        }
    }
    for (const auto &[notStarted, linkTime, ticket] : feasible) {
        m_ranks[ticket] = rank;
    }
}

// From the last deadline to the first, finds the latest time at which each of the started ones can go on.
// Returns the time that the link takes for the urgent ones.
Clock::duration TransferOrder::rankUrgent(std::vector<Transfer> transfers, TimePoint until)
{
    std::stable_sort(transfers.begin(), transfers.end(), [](const auto &left, const auto &right) { return left.deadline > right.deadline; });
    auto latestStart = TimePoint::max();
    Clock::duration urgentTime{0};
    for (const auto &transfer : transfers) {
        const auto found = m_ranks.find(transfer.ticket);
        if (found == m_ranks.end() || !transfer.started) {
            continue;
        }
        latestStart = std::min(latestStart, transfer.deadline) - transfer.linkTime;
        if (latestStart <= until) {
            found->second = Rank::Urgent;
            urgentTime += transfer.linkTime;
        }
    }
    return urgentTime;
}

const std::vector<ResponseTicket> &TransferOrder::tickets() const
{
    return m_tickets;
}

TransferOrder::Rank TransferOrder::rankOf(ResponseTicket ticket) const
{
    const auto found = m_ranks.find(ticket);
    return found == m_ranks.end() ? Rank::Hopeless : found->second;
}

}
