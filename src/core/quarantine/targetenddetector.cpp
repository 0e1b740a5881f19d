#include "core/quarantine/targetenddetector.h"

#include <algorithm>

namespace Galenahill {

namespace {

// A response that is read this long after a connection was lost may have been sent before the target ended.
constexpr Milliseconds ResponseTolerance{100};

// How long the target may go on with a request that was given up, and how many such requests are kept.
constexpr Milliseconds AbandonedTime{5000};
constexpr std::size_t MaxAbandoned = 32;

}

TargetEndDetector::Ticket TargetEndDetector::started(RequestDigest digest)
{
    m_requests.emplace(m_nextTicket, Request{.digest = digest});
    return m_nextTicket++;
}

void TargetEndDetector::notSent(Ticket ticket)
{
    m_requests.erase(ticket);
}

// A target that responds has not ended by the requests whose connections were lost before.
void TargetEndDetector::answered(Ticket ticket, TimePoint now)
{
    m_requests.erase(ticket);
    if (m_lost > 0) {
        removeLostBefore(now - ResponseTolerance);
    }
}

void TargetEndDetector::abandoned(Ticket ticket, TimePoint now)
{
    const auto found = m_requests.find(ticket);
    if (found == m_requests.end()) {
        return;
    }
    m_abandoned.push_back({found->second.digest, now});
    m_requests.erase(found);
    while (m_abandoned.size() > MaxAbandoned || now - m_abandoned.front().at > AbandonedTime) {
        m_abandoned.pop_front();
    }
}

bool TargetEndDetector::lost(Ticket ticket, TimePoint now)
{
    const auto found = m_requests.find(ticket);
    if (found == m_requests.end()) {
        return false;
    }
    found->second.lostAt = now;
    ++m_lost;
    return true;
}

bool TargetEndDetector::isPending(Ticket ticket) const
{
    return m_requests.contains(ticket);
}

std::size_t TargetEndDetector::running() const
{
    return m_requests.size() - m_lost;
}

void TargetEndDetector::removeLostBefore(TimePoint time)
{
    m_lost -= std::erase_if(m_requests, [time](const auto &entry) { return entry.second.lostAt < time; });
}

std::vector<RequestDigest> TargetEndDetector::takeSuspects(TimePoint now)
{
    std::vector<RequestDigest> suspects;
    for (const auto &[ticket, request] : m_requests) {
        suspects.push_back(request.digest);
    }
    for (const auto &request : m_abandoned) {
        if (now - request.at <= AbandonedTime) {
            suspects.push_back(request.digest);
        }
    }
    std::sort(suspects.begin(), suspects.end());
    suspects.erase(std::unique(suspects.begin(), suspects.end()), suspects.end());
    m_requests.clear();
    m_abandoned.clear();
    m_lost = 0;
    return suspects;
}

}
