#include "core/calls/responseschedule.h"

#include <algorithm>

namespace Galenahill {

ResponseSchedule::ResponseSchedule(Options options)
    : m_options(options)
{
}

void ResponseSchedule::setResponseFraction(double fraction)
{
    m_options.responseFraction = fraction;
}

Clock::duration ResponseSchedule::linkTime(std::uint64_t bytes) const
{
    const auto rate = static_cast<double>(m_options.bytesPerSecond) * m_options.responseFraction;
    return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(static_cast<double>(bytes) / rate));
}

ResponseSchedule::Urgency ResponseSchedule::urgencyOf(const Call &call, Clock::duration serviceLeft, TimePoint now) const
{
    const auto needed = serviceLeft + linkTime(call.bytes);
    const bool late = now + needed > call.objective;
    return {late, (late ? call.deadline : call.objective) - needed};
}

ResponseSchedule::Urgency ResponseSchedule::urgencyOf(const Entry &entry, TimePoint now) const
{
    if (entry.stage == Stage::Produced) {
        const auto needed = linkTime(entry.call.bytes);
        return {now + needed > entry.call.objective, now + needed};
    }
    const auto begin = entry.stage == Stage::Waiting ? now : entry.since;
    return urgencyOf(entry.call, std::max<Clock::duration>(begin + entry.call.serviceTime - now, Clock::duration(0)), now);
}

// A response whose reader does not take its last part leaves the link to the others.
bool ResponseSchedule::isStalled(const Entry &entry, TimePoint now) const
{
    return entry.started && !entry.wantsPart && now - entry.grantedAt > m_options.stallTime;
}

// A produced response that cannot be complete in time goes after all others.
bool ResponseSchedule::needsLink(const Entry &entry, TimePoint now) const
{
    const bool isHopeless = entry.stage == Stage::Produced && now + linkTime(entry.call.bytes) > entry.call.deadline;
    return !isHopeless && !isStalled(entry, now);
}

// Bytes that the link has to send before a call of that urgency. A produced response is assumed to be
// sent before a call that does not run yet and is no more urgent in being late or not.
std::uint64_t ResponseSchedule::bytesAhead(const Urgency &urgency, TimePoint now) const
{
    std::uint64_t bytes = 0;
    for (const auto &[ticket, entry] : m_entries) {
        const auto other = urgencyOf(entry, now);
        const bool isAhead = entry.stage == Stage::Produced ? other.first <= urgency.first : other <= urgency;
        bytes += isAhead && needsLink(entry, now) ? entry.call.bytes : 0;
    }
    return bytes;
}

std::uint64_t ResponseSchedule::admittedBytes(bool onTimeOnly, TimePoint now) const
{
    std::uint64_t bytes = 0;
    for (const auto &[ticket, entry] : m_entries) {
        if (entry.stage != Stage::Waiting && needsLink(entry, now) && !(onTimeOnly && urgencyOf(entry, now).first)) {
            bytes += entry.call.bytes;
        }
    }
    return bytes;
}

TimePoint ResponseSchedule::expectedCompletion(const Call &call, TimePoint now) const
{
    const auto urgency = urgencyOf(call, call.serviceTime, now);
    const auto linkFree = std::max(now, m_linkFreeAt) + linkTime(bytesAhead(urgency, now));
    return std::max<TimePoint>(now + call.serviceTime, linkFree) + linkTime(call.bytes);
}

// Whether the response could be complete too late even if the call ran now.
bool ResponseSchedule::couldMissDeadline(const Call &call, std::uint64_t bytesAhead, TimePoint now) const
{
    const Clock::duration service = std::max(call.serviceTime, call.highServiceTime);
    return now + std::max(service, linkTime(bytesAhead)) + linkTime(std::max(call.bytes, call.highBytes)) > call.deadline;
}

bool ResponseSchedule::add(ResponseTicket ticket, const Call &call, bool untilDeadline, TimePoint now)
{
    const auto limit = untilDeadline ? call.deadline : std::min(call.objective, call.deadline);
    const auto ahead = bytesAhead(urgencyOf(call, call.serviceTime, now), now);
    // Only responses correct the estimates, so a call at an idle link is not rejected for them.
    const bool isProbe = m_entries.empty() && now + linkTime(call.bytes) <= limit;
    const bool isLate = expectedCompletion(call, now) > limit || couldMissDeadline(call, ahead, now);
    if (m_waiting >= m_options.maxWaiting || (isLate && !isProbe)) {
        return false;
    }
    m_entries.emplace(ticket, Entry{.call = call, .since = now, .isProbe = isProbe});
    ++m_waiting;
    return true;
}

// Late responses delay the admission of a call that can be on time less than those that are on time. They
// are sent after it if they can wait.
bool ResponseSchedule::mayRun(const Entry &entry, bool late, TimePoint now) const
{
    const auto served = std::chrono::duration_cast<Clock::duration>(entry.call.serviceTime * m_options.leadFactor);
    const auto lead = std::max<Clock::duration>(served, m_options.minLead);
    return linkTime(admittedBytes(!late, now)) < lead && linkTime(admittedBytes(false, now)) < lead * m_options.lateFactor;
}

// Whether the call is admitted although it could miss its deadline by the estimates.
bool ResponseSchedule::isTried(const Entry &entry) const
{
    return entry.isProbe && m_entries.size() == 1;
}

ResponseSchedule::Decision ResponseSchedule::reject(ResponseTicket ticket)
{
    remove(ticket);
    return {ticket, false};
}

std::optional<ResponseSchedule::Decision> ResponseSchedule::nextDecision(TimePoint now)
{
    std::pair<const ResponseTicket, Entry> *first = nullptr;
    Urgency urgency;
    for (auto &item : m_entries) {
        if (item.second.stage != Stage::Waiting) {
            continue;
        }
        const auto candidate = urgencyOf(item.second, now);
        if (!isTried(item.second) && couldMissDeadline(item.second.call, 0, now)) {
            return reject(item.first);
        }
        if (first == nullptr || candidate < urgency) {
            first = &item;
            urgency = candidate;
        }
    }
    if (first == nullptr || !mayRun(first->second, urgency.first, now)) {
        return std::nullopt;
    }
    if (!isTried(first->second) && couldMissDeadline(first->second.call, admittedBytes(false, now), now)) {
        return reject(first->first);
    }
    first->second.stage = Stage::Running;
    first->second.since = now;
    --m_waiting;
    return Decision{first->first, true};
}

void ResponseSchedule::produced(ResponseTicket ticket, std::uint64_t bytes)
{
    auto &entry = m_entries.at(ticket);
    entry.stage = Stage::Produced;
    entry.call.bytes = bytes;
}

bool ResponseSchedule::takeMemory(ResponseTicket ticket, std::uint64_t bytes)
{
    if (m_bufferedBytes + bytes > m_options.maxBufferedBytes) {
        return false;
    }
    m_entries.at(ticket).memory += bytes;
    m_bufferedBytes += bytes;
    return true;
}

void ResponseSchedule::requestPart(ResponseTicket ticket, std::uint64_t bytesLeft, TimePoint now)
{
    auto &entry = m_entries.at(ticket);
    entry.call.bytes = bytesLeft;
    entry.wantsPart = true;
    entry.grantedAt = now;
}

TransferOrder ResponseSchedule::transferOrder(TimePoint now) const
{
    std::vector<TransferOrder::Transfer> transfers;
    for (const auto &[ticket, entry] : m_entries) {
        if (entry.stage == Stage::Produced && !isStalled(entry, now)) {
            transfers.push_back({ticket, entry.call.objective, entry.call.deadline, linkTime(entry.call.bytes), entry.started});
        }
    }
    // A started transfer may have to wait for a part of another one, or for a process that was stopped.
    return TransferOrder(std::move(transfers), now, std::max<Clock::duration>(linkTime(m_options.partBytes), m_options.minLead));
}

// A response starts even if those that go after it have taken all places.
bool ResponseSchedule::mayStart(TransferOrder::Rank rank, const TransferOrder &order, TimePoint now) const
{
    const auto active = std::count_if(m_entries.begin(), m_entries.end(), [&](const auto &item) {
        return item.second.started && !isStalled(item.second, now) && order.rankOf(item.first) <= rank;
    });
    return active < m_options.maxTransfers;
}

std::optional<ResponseSchedule::Part> ResponseSchedule::nextPart(TimePoint now)
{
    const bool anyWants = std::any_of(m_entries.begin(), m_entries.end(), [](const auto &item) { return item.second.wantsPart; });
    if (now < m_linkFreeAt || !anyWants) {
        return std::nullopt;
    }
    const auto order = transferOrder(now);
    const auto &tickets = order.tickets();
    const auto next = std::find_if(tickets.begin(), tickets.end(), [&](ResponseTicket ticket) {
        const auto &entry = m_entries.at(ticket);
        return entry.wantsPart && (entry.started || mayStart(order.rankOf(ticket), order, now));
    });
    if (next == tickets.end()) {
        return std::nullopt;
    }
    auto &entry = m_entries.at(*next);
    const auto bytes = std::min(entry.call.bytes, m_options.partBytes);
    entry.call.bytes -= bytes;
    entry.started = true;
    entry.wantsPart = false;
    entry.grantedAt = now;
    m_linkFreeAt = std::max<TimePoint>(m_linkFreeAt, now - m_options.maxCatchUp) + linkTime(bytes);
    return Part{*next, bytes};
}

TimePoint ResponseSchedule::linkFreeAt() const
{
    return m_linkFreeAt;
}

std::optional<ResponseTicket> ResponseSchedule::expired(TimePoint now) const
{
    const auto isExpired = [&](const auto &item) { return item.second.wantsPart && now > item.second.call.deadline + m_options.deadlineAllowance; };
    const auto found = std::find_if(m_entries.begin(), m_entries.end(), isExpired);
    return found == m_entries.end() ? std::nullopt : std::optional(found->first);
}

void ResponseSchedule::remove(ResponseTicket ticket)
{
    const auto found = m_entries.find(ticket);
    if (found != m_entries.end()) {
        m_waiting -= found->second.stage == Stage::Waiting ? 1 : 0;
        m_bufferedBytes -= found->second.memory;
        m_entries.erase(found);
    }
}

std::size_t ResponseSchedule::waiting() const
{
    return m_waiting;
}

std::uint64_t ResponseSchedule::bufferedBytes() const
{
    return m_bufferedBytes;
}

std::uint64_t ResponseSchedule::backlogBytes() const
{
    std::uint64_t bytes = 0;
    for (const auto &[ticket, entry] : m_entries) {
        bytes += entry.call.bytes;
    }
    return bytes;
}

Clock::duration ResponseSchedule::backlogTime(TimePoint now) const
{
    std::uint64_t bytes = 0;
    for (const auto &[ticket, entry] : m_entries) {
        bytes += isStalled(entry, now) ? 0 : entry.call.bytes;
    }
    return linkTime(bytes);
}

}
