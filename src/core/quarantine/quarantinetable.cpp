#include "core/quarantine/quarantinetable.h"

#include <algorithm>

namespace Galenahill {

namespace {

SuspectedRequest *find(std::vector<SuspectedRequest> &suspects, RequestDigest digest)
{
    const auto found = std::find_if(suspects.begin(), suspects.end(), [digest](const auto &request) { return request.digest == digest; });
    return found == suspects.end() ? nullptr : &*found;
}

}

const char *toString(RequestStanding standing)
{
    switch (standing) {
    case RequestStanding::Clear:
        return "clear";
    case RequestStanding::Suspect:
        return "suspect";
    case RequestStanding::Quarantined:
        return "quarantined";
    }
    return "clear";
}

QuarantineTable::QuarantineTable(Options options)
    : m_options(options)
{
}

bool QuarantineTable::add(const TargetEnd &end, TimePoint observed)
{
    const auto [entry, isNew] = m_ends.try_emplace(end.id, KnownEnd{.end = end, .observed = observed});
    if (isNew) {
        for (const auto &request : end.suspects) {
            m_byDigest[request.digest].push_back(end.id);
        }
        if (m_ends.size() > m_options.capacity) {
            removeOldest();
        }
        return true;
    }
    bool changed = false;
    for (const auto &request : end.suspects) {
        auto *known = find(entry->second.end.suspects, request.digest);
        if (known != nullptr && request.cleared && !known->cleared) {
            known->cleared = true;
            changed = true;
        }
    }
    return changed;
}

std::vector<TargetEnd> QuarantineTable::clear(RequestDigest digest, TimePoint now)
{
    std::vector<TargetEnd> changed;
    const auto ids = m_byDigest.find(digest);
    if (ids == m_byDigest.end()) {
        return changed;
    }
    for (const auto &id : ids->second) {
        auto &known = m_ends.at(id);
        auto *request = find(known.end.suspects, digest);
        if (!request->cleared) {
            request->cleared = true;
            changed.push_back(withAge(known, now));
        }
    }
    return changed;
}

const QuarantineTable::KnownEnd *QuarantineTable::countedEnd(TargetEndId id, RequestDigest digest, TimePoint now) const
{
    const auto &known = m_ends.at(id);
    const auto &suspects = known.end.suspects;
    const bool counts = std::any_of(suspects.begin(), suspects.end(), [digest](const auto &request) { return request.digest == digest && !request.cleared; });
    return counts && now - known.observed < m_options.holdTime ? &known : nullptr;
}

std::vector<NodeName> QuarantineTable::endedNodes(RequestDigest digest, TimePoint now) const
{
    std::vector<NodeName> nodes;
    const auto ids = m_byDigest.find(digest);
    if (ids == m_byDigest.end()) {
        return nodes;
    }
    for (const auto &id : ids->second) {
        if (const auto *known = countedEnd(id, digest, now)) {
            nodes.push_back(known->end.node);
        }
    }
    return nodes;
}

std::size_t QuarantineTable::endsOf(RequestDigest digest, TimePoint now) const
{
    return endedNodes(digest, now).size();
}

// Whether one of the suspects has ended other targets as well, and so probably this one.
bool QuarantineTable::isExplained(const TargetEnd &end, TimePoint now) const
{
    return std::any_of(end.suspects.begin(), end.suspects.end(), [&](const auto &request) { return endsOf(request.digest, now) >= m_options.maxEnds; });
}

bool QuarantineTable::hasManyOtherEnds(RequestDigest digest, TimePoint now) const
{
    const auto &own = m_byDigest.at(digest);
    const auto &service = m_ends.at(own.back()).end.service;
    const auto others = std::count_if(m_ends.begin(), m_ends.end(), [&](const auto &entry) {
        const bool isOwn = std::find(own.begin(), own.end(), entry.first) != own.end();
        return !isOwn && entry.second.end.service == service && now - entry.second.observed < m_options.holdTime && !isExplained(entry.second.end, now);
    });
    return static_cast<std::size_t>(others) >= m_options.otherEnds;
}

RequestStanding QuarantineTable::standing(RequestDigest digest, TimePoint now) const
{
    if (m_byDigest.empty()) {
        return RequestStanding::Clear;
    }
    const auto count = endsOf(digest, now);
    if (count == 0) {
        return RequestStanding::Clear;
    }
    const bool isLimit = count > m_options.maxEnds || (count == m_options.maxEnds && !hasManyOtherEnds(digest, now));
    return isLimit ? RequestStanding::Quarantined : RequestStanding::Suspect;
}

std::size_t QuarantineTable::recentEnds(const ServiceName &service, Milliseconds window, TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(
        m_ends.begin(), m_ends.end(), [&](const auto &entry) { return entry.second.end.service == service && now - entry.second.observed < window; }));
}

TargetEnd QuarantineTable::withAge(const KnownEnd &known, TimePoint now) const
{
    auto end = known.end;
    end.ageMs = static_cast<std::uint32_t>(std::max<std::int64_t>(std::chrono::duration_cast<Milliseconds>(now - known.observed).count(), 0));
    return end;
}

std::vector<TargetEnd> QuarantineTable::ends(TimePoint now) const
{
    std::vector<TargetEnd> all;
    all.reserve(m_ends.size());
    for (const auto &[id, known] : m_ends) {
        all.push_back(withAge(known, now));
    }
    return all;
}

std::size_t QuarantineTable::suspects(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_byDigest.begin(), m_byDigest.end(), [&](const auto &entry) { return standing(entry.first, now) != RequestStanding::Clear; }));
}

std::size_t QuarantineTable::quarantined(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_byDigest.begin(), m_byDigest.end(), [&](const auto &entry) { return standing(entry.first, now) == RequestStanding::Quarantined; }));
}

void QuarantineTable::removeFromIndex(const TargetEnd &end)
{
    for (const auto &request : end.suspects) {
        const auto ids = m_byDigest.find(request.digest);
        if (ids == m_byDigest.end()) {
            continue;
        }
        std::erase(ids->second, end.id);
        if (ids->second.empty()) {
            m_byDigest.erase(ids);
        }
    }
}

void QuarantineTable::removeOldest()
{
    const auto oldest = std::min_element(m_ends.begin(), m_ends.end(), [](const auto &a, const auto &b) { return a.second.observed < b.second.observed; });
    removeFromIndex(oldest->second.end);
    m_ends.erase(oldest);
}

void QuarantineTable::expire(TimePoint now)
{
    std::erase_if(m_ends, [&](const auto &entry) {
        const bool expired = now - entry.second.observed >= m_options.holdTime;
        if (expired) {
            removeFromIndex(entry.second.end);
        }
        return expired;
    });
}

bool QuarantineTable::empty() const
{
    return m_ends.empty();
}

}
