#include "core/calls/targetpicker.h"

#include <algorithm>
#include <cmath>

namespace Galenahill {

namespace {

// Weight divisor of one attempt in a service's failure rate: follows a service that begins to
// reject calls within about thirty of them, but not one or two failing targets.
constexpr double FailureRateWeight = 24;

// If the service's failure rate makes a run of failures less likely than this, the run counts as
// a failure of the target itself.
constexpr double ChanceThreshold = 0.03;

// Caps the failure rate, which bounds the run of failures that ejects a target when nearly all calls fail.
constexpr double MaxFailureRate = 0.9;

}

TargetPicker::TargetPicker(Options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
}

bool TargetPicker::isFresh(const State &state, TimePoint now) const
{
    return state.reportedAt != TimePoint() && now - state.reportedAt < m_options.maxLoadAge;
}

// A target without a recent report may have free slots: otherwise one bad report would keep all
// calls, and with them every better report, away from it.
bool TargetPicker::mayHaveCapacity(const State &state, TimePoint now) const
{
    return !isFresh(state, now) || state.load.calls + state.startedSinceReport < state.load.limit;
}

double TargetPicker::loadScore(const State &state, TimePoint now) const
{
    if (!isFresh(state, now)) {
        return state.inFlight;
    }
    const auto calls = std::max(state.load.calls + state.startedSinceReport, state.inFlight);
    return static_cast<double>(calls) / std::max<std::uint32_t>(state.load.limit, 1);
}

TargetPicker::Candidates TargetPicker::usable(const std::vector<MemberRecord> &targets, const std::vector<NodeName> &tried, TimePoint now)
{
    Candidates healthy;
    Candidates unavailable;
    Candidates ejected;
    std::size_t ejectedCount = 0;
    for (const auto &target : targets) {
        const auto &state = m_states[target.name];
        const bool isEjected = state.ejectedUntil > now;
        ejectedCount += isEjected ? 1 : 0;
        if (std::find(tried.begin(), tried.end(), target.name) != tried.end()) {
            continue;
        }
        const bool isUnavailable = state.backOffUntil > now || (isFresh(state, now) && state.load.limit == 0) || target.state == MemberState::Suspect;
        (isUnavailable ? unavailable : isEjected ? ejected : healthy).push_back(&target);
    }
    // If more than half are ejected, the cause is more likely shared (the network, this node, a bad
    // call) than in the targets themselves, and the few remaining targets would be overloaded.
    if (ejectedCount * 2 > targets.size()) {
        healthy.insert(healthy.end(), ejected.begin(), ejected.end());
    }
    // An ejected target is better than none: if all are ejected, a failure that affects every target
    // for a moment would become an outage.
    return !healthy.empty() ? healthy : !ejected.empty() ? ejected : unavailable;
}

const MemberRecord *TargetPicker::lessLoaded(const Candidates &candidates, TimePoint now)
{
    std::uniform_int_distribution<std::size_t> index(0, candidates.size() - 1);
    const auto first = index(m_random);
    auto second = index(m_random);
    if (second == first) {
        second = (first + 1) % candidates.size();
    }
    const bool firstLess = loadScore(m_states[candidates[first]->name], now) <= loadScore(m_states[candidates[second]->name], now);
    return candidates[firstLess ? first : second];
}

const MemberRecord *TargetPicker::pick(const std::vector<MemberRecord> &targets, const std::vector<NodeName> &tried, TimePoint now, bool onlyWithFreeSlot)
{
    const auto candidates = usable(targets, tried, now);
    if (candidates.empty()) {
        return nullptr;
    }
    if (!m_options.policy.leastLoaded) {
        return candidates[m_nextIndex++ % candidates.size()];
    }
    Candidates local;
    Candidates remote;
    for (const auto *target : candidates) {
        if (mayHaveCapacity(m_states[target->name], now)) {
            (target->dataCentre == m_options.dataCentre ? local : remote).push_back(target);
        }
    }
    if (!local.empty() || !remote.empty()) {
        return lessLoaded(!local.empty() ? local : remote, now);
    }
    return onlyWithFreeSlot ? nullptr : lessLoaded(candidates, now);
}

const TargetPicker::Pool *TargetPicker::pool(const MemberRecord &target, TimePoint now) const
{
    const auto pools = m_pools.find(target.service);
    if (pools == m_pools.end()) {
        return nullptr;
    }
    const auto found = pools->second.find(target.dataCentre);
    const bool known = found != pools->second.end() && now - found->second.observed < m_options.maxPoolAge;
    return known ? &found->second : nullptr;
}

// Zero if there is no recent report of the pool.
Clock::duration TargetPicker::poolWait(const MemberRecord &target, TimePoint now) const
{
    const auto *known = pool(target, now);
    return known != nullptr ? known->wait : Milliseconds(0);
}

// The weight of a report decays with its age, and a target without a report counts as its pool
// does: if it counted as free, it would attract every call to a data centre that is full.
Clock::duration TargetPicker::expectedWait(const MemberRecord &target, const State &state, TimePoint now) const
{
    const auto remotePenalty = target.dataCentre == m_options.dataCentre ? Milliseconds(0) : m_options.remotePenalty;
    const auto poolAverage = poolWait(target, now);
    const auto age = now - state.waitReportedAt;
    if (state.waitReportedAt == TimePoint() || age >= m_options.maxLoadAge) {
        return poolAverage + remotePenalty;
    }
    const auto reported = std::max<Clock::duration>(state.wait - age, Clock::duration(0));
    const double staleness = std::chrono::duration<double>(age) / std::chrono::duration<double>(m_options.maxLoadAge);
    const auto weighted = std::chrono::duration_cast<Clock::duration>(reported * (1 - staleness) + poolAverage * staleness);
    // Calls that this node has sent since the report are queued before this one.
    return weighted + state.startedSinceReport * state.interval + remotePenalty;
}

TargetPicker::Candidates TargetPicker::sample(const Candidates &candidates)
{
    Candidates local;
    Candidates remote;
    for (const auto *target : candidates) {
        (target->dataCentre == m_options.dataCentre ? local : remote).push_back(target);
    }
    Candidates chosen;
    std::sample(local.begin(), local.end(), std::back_inserter(chosen), m_options.sampleSize, m_random);
    std::sample(remote.begin(), remote.end(), std::back_inserter(chosen), m_options.sampleSize, m_random);
    return chosen;
}

const MemberRecord *TargetPicker::selectForQueueing(const std::vector<MemberRecord> &targets, const std::vector<NodeName> &tried, TimePoint now)
{
    const auto candidates = sample(usable(targets, tried, now));
    boost::container::small_vector<Clock::duration, 16> waits;
    auto shortest = Clock::duration::max();
    for (const auto *target : candidates) {
        waits.push_back(expectedWait(*target, m_states[target->name], now));
        shortest = std::min(shortest, waits.back());
    }
    Candidates shortestWaits;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (waits[i] <= shortest + m_options.waitTolerance) {
            shortestWaits.push_back(candidates[i]);
        }
    }
    return shortestWaits.empty() ? nullptr : lessLoaded(shortestWaits, now);
}

const MemberRecord *TargetPicker::pickOverflow(const std::vector<MemberRecord> &targets, const std::vector<NodeName> &tried, TimePoint now)
{
    Candidates candidates;
    boost::container::small_vector<double, 16> freeFractions;
    for (const auto *target : usable(targets, tried, now)) {
        const auto *known = target->dataCentre == m_options.dataCentre ? nullptr : pool(*target, now);
        if (known == nullptr || known->load.limit == 0 || !mayHaveCapacity(m_states[target->name], now)) {
            continue;
        }
        const auto share = 1 - static_cast<double>(known->load.calls) / known->load.limit;
        if (share >= m_options.minOverflowHeadroom) {
            candidates.push_back(target);
            freeFractions.push_back(share);
        }
    }
    if (candidates.empty()) {
        return nullptr;
    }
    std::discrete_distribution<std::size_t> index(freeFractions.begin(), freeFractions.end());
    return candidates[index(m_random)];
}

// Empty if neither the target nor its pool is known.
std::optional<Clock::duration> TargetPicker::knownWait(const MemberRecord &target, TimePoint now) const
{
    const auto state = m_states.find(target.name);
    const bool isKnown = state != m_states.end() && isFresh(state->second, now);
    if (!isKnown && pool(target, now) == nullptr) {
        return std::nullopt;
    }
    return expectedWait(target, state == m_states.end() ? State() : state->second, now);
}

std::optional<Milliseconds> TargetPicker::backlog(const std::vector<MemberRecord> &targets, TimePoint now) const
{
    struct Sum
    {
        const DataCentre *dataCentre = nullptr;
        Clock::duration wait{0};
        int targets = 0;
    };
    boost::container::small_vector<Sum, 8> sums;
    for (const auto &target : targets) {
        if (const auto wait = knownWait(target, now)) {
            auto sum = std::find_if(sums.begin(), sums.end(), [&](const Sum &other) { return *other.dataCentre == target.dataCentre; });
            if (sum == sums.end()) {
                sum = sums.insert(sums.end(), {&target.dataCentre, Clock::duration(0), 0});
            }
            sum->wait += *wait;
            ++sum->targets;
        }
    }
    std::optional<Milliseconds> lowest;
    for (const auto &sum : sums) {
        const auto mean = std::chrono::duration_cast<Milliseconds>(sum.wait / sum.targets);
        lowest = std::min(lowest.value_or(mean), mean);
    }
    return lowest;
}

std::optional<Milliseconds> TargetPicker::shortestWait(const std::vector<MemberRecord> &targets, TimePoint now) const
{
    std::optional<Milliseconds> shortest;
    for (const auto &target : targets) {
        const auto wait = knownWait(target, now);
        if (!wait) {
            return std::nullopt;
        }
        const auto rounded = std::chrono::duration_cast<Milliseconds>(*wait);
        shortest = std::min(shortest.value_or(rounded), rounded);
        if (rounded.count() == 0) {
            break;
        }
    }
    return shortest;
}

bool TargetPicker::mayHaveFreeSlot(const NodeName &target, TimePoint now)
{
    return mayHaveCapacity(m_states[target], now);
}

void TargetPicker::updateExpectedWait(const NodeName &target, Milliseconds wait, TimePoint now)
{
    auto &state = m_states[target];
    state.wait = wait;
    state.waitReportedAt = now;
    // The wait applies behind all calls that exceed the target's slots.
    const auto waiting = state.load.calls >= state.load.limit ? state.load.calls - state.load.limit + 1 : 0;
    state.interval = waiting > 0 ? wait / waiting : Milliseconds(0);
}

void TargetPicker::updateTargetLoad(const NodeName &target, TargetLoad load, Milliseconds wait, TimePoint observed)
{
    auto &state = m_states[target];
    if (observed <= state.reportedAt) {
        return;
    }
    state.load = load;
    state.reportedAt = observed;
    state.startedSinceReport = state.lastStarted > observed ? state.startedSinceReport : 0;
    updateExpectedWait(target, wait, observed);
}

void TargetPicker::updatePoolLoad(const DataCentre &dataCentre, const ServiceName &service, TargetLoad load, Milliseconds wait, TimePoint observed)
{
    auto &pool = m_pools[service][dataCentre];
    if (observed > pool.observed) {
        pool = {load, wait, observed};
    }
}

void TargetPicker::addInFlight(const NodeName &target, TimePoint now)
{
    auto &state = m_states[target];
    ++state.inFlight;
    ++state.startedSinceReport;
    state.lastStarted = now;
}

void TargetPicker::removeInFlight(const NodeName &target)
{
    auto &state = m_states[target];
    if (state.inFlight > 0) {
        --state.inFlight;
    }
}

void TargetPicker::updateReportedLoad(const NodeName &target, TargetLoad load, TimePoint now)
{
    auto &state = m_states[target];
    state.load = load;
    state.startedSinceReport = 0;
    state.reportedAt = now;
}

void TargetPicker::attemptSucceeded(const ServiceName &service, const NodeName &target)
{
    m_failureRates[service] -= m_failureRates[service] / FailureRateWeight;
    auto &state = m_states[target];
    state.failures = 0;
    state.ejections = 0;
}

// Consecutive failures that rarely occur by chance, given the failure rate of the whole service.
// When all targets reject every other call, three in a row say nothing about one target; ejecting
// targets for them would leave the calls of half of the targets to the other half.
std::uint32_t TargetPicker::failuresToEject(const ServiceName &service) const
{
    const auto failureRate = m_failureRates.find(service);
    const auto share = failureRate == m_failureRates.end() ? 0 : std::clamp(failureRate->second, 0.0, MaxFailureRate);
    if (share == 0) {
        return m_options.failuresToEject;
    }
    const auto byChance = static_cast<std::uint32_t>(std::ceil(std::log(ChanceThreshold) / std::log(share)));
    return std::max(m_options.failuresToEject, byChance);
}

void TargetPicker::attemptFailed(const ServiceName &service, const NodeName &target, TimePoint now)
{
    const auto needed = failuresToEject(service);
    m_failureRates[service] += (1 - m_failureRates[service]) / FailureRateWeight;
    auto &state = m_states[target];
    if (!m_options.policy.ejection || state.ejectedUntil > now || ++state.failures < needed) {
        return;
    }
    // After the ejection a single failure ejects again, for twice as long.
    const auto time = m_options.ejectionTime * (1 << std::min<std::uint32_t>(state.ejections, 8));
    state.ejectedUntil = now + std::min<Milliseconds>(time, m_options.maxEjectionTime);
    const bool serviceHealthy = needed == m_options.failuresToEject;
    state.failures = serviceHealthy ? needed - 1 : 0;
    ++state.ejections;
}

void TargetPicker::backOff(const NodeName &target, TimePoint now)
{
    m_states[target].backOffUntil = now + m_options.backOffTime;
}

}
