#include "core/targetpicker.h"

#include <algorithm>

namespace Galenahill {

TargetPicker::TargetPicker(Options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
}

const MemberRecord *TargetPicker::pick(const std::vector<MemberRecord> &targets, const std::vector<NodeName> &tried, TimePoint now)
{
    std::vector<const MemberRecord *> near;
    std::vector<const MemberRecord *> far;
    std::vector<const MemberRecord *> resting;
    for (const auto &target : targets) {
        if (std::find(tried.begin(), tried.end(), target.name) != tried.end()) {
            continue;
        }
        const auto load = m_loads.find(target.name);
        if (load != m_loads.end() && load->second.restsUntil > now) {
            resting.push_back(&target);
        } else if (target.dataCentre == m_options.dataCentre) {
            near.push_back(&target);
        } else {
            far.push_back(&target);
        }
    }
    // A resting target is better than none: were all passed over, a fault
    // that touches every target for a moment would become an outage.
    const auto &candidates = !near.empty() ? near : !far.empty() ? far : resting;
    if (candidates.empty()) {
        return nullptr;
    }
    std::uniform_int_distribution<std::size_t> index(0, candidates.size() - 1);
    const auto *first = candidates[index(m_random)];
    const auto *second = candidates[index(m_random)];
    return m_loads[first->name].inFlight <= m_loads[second->name].inFlight ? first : second;
}

void TargetPicker::begin(const NodeName &target)
{
    ++m_loads[target].inFlight;
}

void TargetPicker::end(const NodeName &target)
{
    auto &load = m_loads[target];
    if (load.inFlight > 0) {
        --load.inFlight;
    }
}

void TargetPicker::rest(const NodeName &target, TimePoint now)
{
    m_loads[target].restsUntil = now + m_options.restTime;
}

}
