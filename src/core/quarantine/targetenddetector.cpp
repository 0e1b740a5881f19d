#include "core/quarantine/targetenddetector.h"

#include <algorithm>

namespace Galenahill {

namespace {

// A response that is read this long after a connection was lost may have been sent before the target ended.
constexpr Milliseconds ResponseTolerance{100};

// How long the target may go on with a request that was given up, and how many such requests are kept.
constexpr Milliseconds AbandonedTime{5000};
constexpr std::size_t MaxAbandoned = 32;

// How long an answer speaks for requests with the same content, and how many answers are kept.
constexpr Milliseconds AnswerTime{2000};
constexpr std::size_t MaxAnswers = 256;

}

TargetEndDetector::Ticket TargetEndDetector::started(RequestDigest digest)
{
    m_requests.push_back({.ticket = m_nextTicket, .digest = digest});
    return m_nextTicket++;
}

TargetEndDetector::Request *TargetEndDetector::find(Ticket ticket)
{
    const auto found = std::find_if(m_requests.begin(), m_requests.end(), [ticket](const auto &request) { return request.ticket == ticket; });
    return found == m_requests.end() ? nullptr : &*found;
}

void TargetEndDetector::erase(Ticket ticket)
{
    std::erase_if(m_requests, [ticket](const auto &request) { return request.ticket == ticket; });
}

void TargetEndDetector::notSent(Ticket ticket)
{
    erase(ticket);
}

// A target that responds has not ended by the requests whose connections were lost before.
void TargetEndDetector::answered(Ticket ticket, TimePoint now)
{
    if (const auto *request = find(ticket)) {
        recordAnswer(request->digest, now);
        erase(ticket);
    }
    if (m_lost > 0) {
        removeLostBefore(now - ResponseTolerance);
    }
}

void TargetEndDetector::abandoned(Ticket ticket, TimePoint now)
{
    const auto *request = find(ticket);
    if (request == nullptr) {
        return;
    }
    m_abandoned.push_back({request->digest, now});
    erase(ticket);
    while (m_abandoned.size() > MaxAbandoned || now - m_abandoned.front().at > AbandonedTime) {
        m_abandoned.pop_front();
    }
}

bool TargetEndDetector::lost(Ticket ticket, TimePoint now)
{
    auto *request = find(ticket);
    if (request == nullptr) {
        return false;
    }
    request->lostAt = now;
    ++m_lost;
    return true;
}

bool TargetEndDetector::isPending(Ticket ticket) const
{
    return std::any_of(m_requests.begin(), m_requests.end(), [ticket](const auto &request) { return request.ticket == ticket; });
}

bool TargetEndDetector::hasAbandoned(TimePoint now) const
{
    return !m_abandoned.empty() && now - m_abandoned.back().at <= AbandonedTime;
}

std::size_t TargetEndDetector::running() const
{
    return m_requests.size() - m_lost;
}

void TargetEndDetector::removeLostBefore(TimePoint time)
{
    m_lost -= std::erase_if(m_requests, [time](const auto &request) { return request.lostAt < time; });
}

void TargetEndDetector::recordAnswer(RequestDigest digest, TimePoint now)
{
    if (m_answers.size() < MaxAnswers) {
        m_answers.push_back({digest, now});
        return;
    }
    m_answers[m_nextAnswer] = {digest, now};
    m_nextAnswer = (m_nextAnswer + 1) % MaxAnswers;
}

bool TargetEndDetector::wasJustAnswered(RequestDigest digest, TimePoint now) const
{
    return std::any_of(m_answers.begin(), m_answers.end(), [&](const auto &answer) { return answer.digest == digest && now - answer.at <= AnswerTime; });
}

std::vector<RequestDigest> TargetEndDetector::takeSuspects(TimePoint now)
{
    std::vector<RequestDigest> suspects;
    for (const auto &request : m_requests) {
        suspects.push_back(request.digest);
    }
    for (const auto &request : m_abandoned) {
        if (now - request.at <= AbandonedTime) {
            suspects.push_back(request.digest);
        }
    }
    std::erase_if(suspects, [&](const auto &digest) { return wasJustAnswered(digest, now); });
    std::sort(suspects.begin(), suspects.end());
    suspects.erase(std::unique(suspects.begin(), suspects.end()), suspects.end());
    m_requests.clear();
    m_abandoned.clear();
    m_answers.clear();
    m_nextAnswer = 0;
    m_lost = 0;
    return suspects;
}

}
