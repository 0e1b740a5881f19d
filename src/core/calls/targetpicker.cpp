#include "core/calls/targetpicker.h"

#include <algorithm>
#include <cmath>

namespace Galenahill {

namespace {

// Weight of one attempt in a service's share of failures: follows a service that
// begins to reject calls within some thirty of them, and not one or two targets.
constexpr double FailingWeight = 24;

// Probability below which a run of failures counts as the target's own fault.
constexpr double RareRun = 0.03;

// Bounds the run of failures that ejects a target while nearly all calls fail.
constexpr double MaxFailing = 0.9;

}

TargetPicker::TargetPicker(Options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
}

bool TargetPicker::fresh(const State &state, TimePoint now) const
{
    return state.reportedAt != TimePoint() && now - state.reportedAt < m_options.loadAge;
}

// A target that reported nothing lately may have room: otherwise one
// bad report would keep every call, and so every better report, away from it.
bool TargetPicker::hasRoom(const State &state, TimePoint now) const
{
    return !fresh(state, now) || state.load.calls + state.begunSince < state.load.limit;
}

double TargetPicker::score(const State &state, TimePoint now) const
{
    if (!fresh(state, now)) {
        return state.inFlight;
    }
    const auto calls = std::max(state.load.calls + state.begunSince, state.inFlight);
    return static_cast<double>(calls) / std::max<std::uint32_t>(state.load.limit, 1);
}

TargetPicker::Candidates TargetPicker::usable(const std::vector<MemberRecord> &targets, const std::vector<NodeName> &tried, TimePoint now)
{
    Candidates good;
    Candidates backedOff;
    Candidates ejected;
    std::size_t ejectedInAll = 0;
    for (const auto &target : targets) {
        const auto &state = m_states[target.name];
        const bool isEjected = state.ejectedUntil > now;
        ejectedInAll += isEjected ? 1 : 0;
        if (std::find(tried.begin(), tried.end(), target.name) != tried.end()) {
            continue;
        }
        const bool backsOff = state.backOffUntil > now || (fresh(state, now) && state.load.limit == 0) || target.state == MemberState::Suspect;
        (backsOff ? backedOff : isEjected ? ejected : good).push_back(&target);
    }
    // When more than half fail, the fault is more likely shared (the network,
    // this node, a bad call) than theirs; the few left would be overrun.
    if (ejectedInAll * 2 > targets.size()) {
        good.insert(good.end(), ejected.begin(), ejected.end());
    }
    // An ejected target is better than none: were all ejected, a fault
    // that touches every target for a moment would become an outage.
    return !good.empty() ? good : !ejected.empty() ? ejected : backedOff;
}

const MemberRecord *TargetPicker::lessLoaded(const Candidates &candidates, TimePoint now)
{
    std::uniform_int_distribution<std::size_t> index(0, candidates.size() - 1);
    const auto first = index(m_random);
    auto second = index(m_random);
    if (second == first) {
        second = (first + 1) % candidates.size();
    }
    const bool firstLess = score(m_states[candidates[first]->name], now) <= score(m_states[candidates[second]->name], now);
    return candidates[firstLess ? first : second];
}

const MemberRecord *TargetPicker::pick(const std::vector<MemberRecord> &targets, const std::vector<NodeName> &tried, TimePoint now, bool onlyWithRoom)
{
    const auto candidates = usable(targets, tried, now);
    if (candidates.empty()) {
        return nullptr;
    }
    if (!m_options.policy.leastLoaded) {
        return candidates[m_turn++ % candidates.size()];
    }
    Candidates near;
    Candidates far;
    for (const auto *target : candidates) {
        if (hasRoom(m_states[target->name], now)) {
            (target->dataCentre == m_options.dataCentre ? near : far).push_back(target);
        }
    }
    if (!near.empty() || !far.empty()) {
        return lessLoaded(!near.empty() ? near : far, now);
    }
    return onlyWithRoom ? nullptr : lessLoaded(candidates, now);
}

const TargetPicker::Pool *TargetPicker::pool(const MemberRecord &target, TimePoint now) const
{
    const auto pools = m_pools.find(target.service);
    if (pools == m_pools.end()) {
        return nullptr;
    }
    const auto found = pools->second.find(target.dataCentre);
    const bool known = found != pools->second.end() && now - found->second.observed < m_options.poolAge;
    return known ? &found->second : nullptr;
}

// A pool without a report has no expected wait.
Clock::duration TargetPicker::poolWait(const MemberRecord &target, TimePoint now) const
{
    const auto *known = pool(target, now);
    return known != nullptr ? known->wait : Milliseconds(0);
}

// A report loses weight with its age, and an unknown target counts as its pool does:
// counted as free, it would keep every call in a data centre that is full.
Clock::duration TargetPicker::expectedWait(const MemberRecord &target, const State &state, TimePoint now) const
{
    const auto crossing = target.dataCentre == m_options.dataCentre ? Milliseconds(0) : m_options.crossing;
    const auto usual = poolWait(target, now);
    const auto age = now - state.waitReportedAt;
    if (state.waitReportedAt == TimePoint() || age >= m_options.loadAge) {
        return usual + crossing;
    }
    const auto reported = std::max<Clock::duration>(state.wait - age, Clock::duration(0));
    const double doubt = std::chrono::duration<double>(age) / std::chrono::duration<double>(m_options.loadAge);
    const auto believed = std::chrono::duration_cast<Clock::duration>(reported * (1 - doubt) + usual * doubt);
    // Own calls begun since the report come before this one.
    return believed + state.begunSince * state.interval + crossing;
}

TargetPicker::Candidates TargetPicker::sampled(const Candidates &candidates)
{
    Candidates near;
    Candidates far;
    for (const auto *target : candidates) {
        (target->dataCentre == m_options.dataCentre ? near : far).push_back(target);
    }
    Candidates chosen;
    std::sample(near.begin(), near.end(), std::back_inserter(chosen), m_options.compared, m_random);
    std::sample(far.begin(), far.end(), std::back_inserter(chosen), m_options.compared, m_random);
    return chosen;
}

const MemberRecord *TargetPicker::selectForQueueing(const std::vector<MemberRecord> &targets, const std::vector<NodeName> &tried, TimePoint now)
{
    const auto candidates = sampled(usable(targets, tried, now));
    boost::container::small_vector<Clock::duration, 16> waits;
    auto shortest = Clock::duration::max();
    for (const auto *target : candidates) {
        waits.push_back(expectedWait(*target, m_states[target->name], now));
        shortest = std::min(shortest, waits.back());
    }
    Candidates least;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (waits[i] <= shortest + m_options.sameWait) {
            least.push_back(candidates[i]);
        }
    }
    return least.empty() ? nullptr : lessLoaded(least, now);
}

const MemberRecord *TargetPicker::pickOverflow(const std::vector<MemberRecord> &targets, const std::vector<NodeName> &tried, TimePoint now)
{
    Candidates candidates;
    boost::container::small_vector<double, 16> free;
    for (const auto *target : usable(targets, tried, now)) {
        const auto *known = target->dataCentre == m_options.dataCentre ? nullptr : pool(*target, now);
        if (known == nullptr || known->load.limit == 0 || !hasRoom(m_states[target->name], now)) {
            continue;
        }
        const auto share = 1 - static_cast<double>(known->load.calls) / known->load.limit;
        if (share >= m_options.overflowRoom) {
            candidates.push_back(target);
            free.push_back(share);
        }
    }
    if (candidates.empty()) {
        return nullptr;
    }
    std::discrete_distribution<std::size_t> index(free.begin(), free.end());
    return candidates[index(m_random)];
}

// Unlike a call that has nowhere else to go, one that waits for its answer has
// something to lose, so that a target which told that it is full and nothing
// since isn't given the benefit of the doubt.
bool TargetPicker::roomElsewhere(const std::vector<MemberRecord> &targets, const std::vector<NodeName> &tried, TimePoint now)
{
    const auto candidates = usable(targets, tried, now);
    return std::any_of(candidates.begin(), candidates.end(), [this](const MemberRecord *target) {
        const auto &state = m_states[target->name];
        return state.reportedAt == TimePoint() || state.load.calls + state.begunSince < state.load.limit;
    });
}

bool TargetPicker::mayHaveFreeSlot(const NodeName &target, TimePoint now)
{
    return hasRoom(m_states[target], now);
}

void TargetPicker::updateExpectedWait(const NodeName &target, Milliseconds wait, TimePoint now)
{
    auto &state = m_states[target];
    state.wait = wait;
    state.waitReportedAt = now;
    // The wait is that behind all calls that the target holds beyond its slots.
    const auto waiting = state.load.calls >= state.load.limit ? state.load.calls - state.load.limit + 1 : 0;
    state.interval = waiting > 0 ? wait / waiting : Milliseconds(0);
}

void TargetPicker::loadObserved(const NodeName &target, TargetLoad load, Milliseconds wait, TimePoint observed)
{
    auto &state = m_states[target];
    if (observed <= state.reportedAt) {
        return;
    }
    state.load = load;
    state.reportedAt = observed;
    state.begunSince = state.lastBegun > observed ? state.begunSince : 0;
    updateExpectedWait(target, wait, observed);
}

void TargetPicker::poolObserved(const DataCentre &dataCentre, const ServiceName &service, TargetLoad load, Milliseconds wait, TimePoint observed)
{
    auto &pool = m_pools[service][dataCentre];
    if (observed > pool.observed) {
        pool = {load, wait, observed};
    }
}

void TargetPicker::begin(const NodeName &target, TimePoint now)
{
    auto &state = m_states[target];
    ++state.inFlight;
    ++state.begunSince;
    state.lastBegun = now;
}

void TargetPicker::end(const NodeName &target)
{
    auto &state = m_states[target];
    if (state.inFlight > 0) {
        --state.inFlight;
    }
}

void TargetPicker::reported(const NodeName &target, TargetLoad load, TimePoint now)
{
    auto &state = m_states[target];
    state.load = load;
    state.begunSince = 0;
    state.reportedAt = now;
}

void TargetPicker::succeeded(const ServiceName &service, const NodeName &target)
{
    m_failing[service] -= m_failing[service] / FailingWeight;
    auto &state = m_states[target];
    state.failures = 0;
    state.ejections = 0;
}

// Failures in a row that chance alone makes rarely, given how often the whole
// service fails. When all of its targets reject every other call, three in a row
// say nothing of one target; ejected for them, half of the targets would leave
// their calls to the other half.
std::uint32_t TargetPicker::failuresToEject(const ServiceName &service) const
{
    const auto failing = m_failing.find(service);
    const auto share = failing == m_failing.end() ? 0 : std::clamp(failing->second, 0.0, MaxFailing);
    if (share == 0) {
        return m_options.failuresToEject;
    }
    const auto byChance = static_cast<std::uint32_t>(std::ceil(std::log(RareRun) / std::log(share)));
    return std::max(m_options.failuresToEject, byChance);
}

void TargetPicker::failed(const ServiceName &service, const NodeName &target, TimePoint now)
{
    const auto needed = failuresToEject(service);
    m_failing[service] += (1 - m_failing[service]) / FailingWeight;
    auto &state = m_states[target];
    if (!m_options.policy.ejection || state.ejectedUntil > now || ++state.failures < needed) {
        return;
    }
    // After the time is over a single failure ejects again, for twice as long.
    const auto time = m_options.ejectTime * (1 << std::min<std::uint32_t>(state.ejections, 8));
    state.ejectedUntil = now + std::min<Milliseconds>(time, m_options.maxEjectTime);
    const bool othersAreWell = needed == m_options.failuresToEject;
    state.failures = othersAreWell ? needed - 1 : 0;
    ++state.ejections;
}

void TargetPicker::backOff(const NodeName &target, TimePoint now)
{
    m_states[target].backOffUntil = now + m_options.backOffTime;
}

}
