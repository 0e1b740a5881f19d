#include "core/customers/limitmembers.h"

#include "core/fleet/rendezvous.h"

#include <algorithm>
#include <fmt/format.h>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <xxhash.h>

namespace Galenahill {

CustomerHash hashOf(const CustomerName &customer)
{
    return CustomerHash(XXH3_64bits(customer.value().data(), customer.value().size()));
}

class LimitMembers::Private
{
public:
    Options options;
    MemberRecord self;
    std::vector<MemberRecord> live;
    // The members that may ask for tokens: also those that have announced that they leave.
    std::unordered_map<std::string, NodeName> nameByControl;
    // Members that vanished without leaving, and when.
    std::unordered_map<NodeName, TimePoint> vanished;
    std::size_t suspected = 0;
    bool seenOthers = false;
    TimePoint changed;
    TimePoint lastHeard;
    TimePoint lastTick;
    // When this node was last found to be cut off.
    std::optional<TimePoint> cutOffAt;
    // Found once per set of live members: with many of them it takes long.
    mutable std::unordered_map<CustomerHash, std::size_t> grantors;

    std::size_t vanishedMembers(TimePoint now) const;
};

LimitMembers::LimitMembers(Options options)
    : d(std::make_unique<Private>())
{
    d->options = std::move(options);
    d->changed = d->options.started;
    d->self.name = d->options.self;
    d->live.push_back(d->self);
}

LimitMembers::~LimitMembers() = default;

bool LimitMembers::setMembers(const std::vector<MemberRecord> &members, TimePoint now)
{
    std::vector<MemberRecord> live;
    std::unordered_set<NodeName> left;
    d->nameByControl.clear();
    for (const auto &member : members) {
        if (member.name == d->options.self) {
            d->self = member;
        } else if (member.state < MemberState::Gone) {
            live.push_back(member);
            d->vanished.erase(member.name);
        } else if (member.state == MemberState::Left) {
            left.insert(member.name);
            d->vanished.erase(member.name);
        }
        if (member.state != MemberState::Gone) {
            d->nameByControl.emplace(toString(member.control()), member.name);
        }
    }
    // A node that leaves has no role any more in the view of the others.
    if (d->self.state == MemberState::Left && !live.empty()) {
        left.insert(d->self.name);
    } else {
        live.push_back(d->self);
    }
    const auto byName = [](const MemberRecord &one, const MemberRecord &other) { return one.name < other.name; };
    std::sort(live.begin(), live.end(), byName);
    for (const auto &member : d->live) {
        if (!left.contains(member.name) && !std::binary_search(live.begin(), live.end(), member, byName)) {
            d->vanished.emplace(member.name, now);
        }
    }
    const bool changed
        = !std::equal(live.begin(), live.end(), d->live.begin(), d->live.end(), [](const auto &one, const auto &other) { return one.name == other.name; });
    d->live = std::move(live);
    d->suspected = static_cast<std::size_t>(std::count_if(
        d->live.begin(), d->live.end(), [this](const auto &member) { return member.state == MemberState::Suspect && member.name != d->options.self; }));
    if (!d->seenOthers && d->live.size() > 1) {
        d->seenOthers = true;
        d->lastHeard = now;
    }
    if (changed) {
        d->changed = now;
        d->grantors.clear();
    }
    return changed;
}

void LimitMembers::heard(TimePoint now)
{
    d->lastHeard = std::max(d->lastHeard, now);
}

void LimitMembers::tick(TimePoint now)
{
    const bool paused = d->lastTick == TimePoint() || now - d->lastTick > d->options.pauseLimit;
    d->lastTick = now;
    if (paused || d->live.size() == 1) {
        d->lastHeard = std::max(d->lastHeard, now);
    } else if (now - d->lastHeard > d->options.isolationTime) {
        d->cutOffAt = now;
    }
}

const MemberRecord &LimitMembers::grantorOf(CustomerHash customer) const
{
    const auto known = d->grantors.find(customer);
    if (known != d->grantors.end()) {
        return d->live[known->second];
    }
    const auto index = rendezvousFirst(fmt::format("limit/{:x}", customer.value()), d->live);
    d->grantors.emplace(customer, index);
    return d->live[index];
}

bool LimitMembers::isGrantor(CustomerHash customer) const
{
    return grantorOf(customer).name == d->options.self;
}

const MemberRecord &LimitMembers::self() const
{
    return d->self;
}

const NodeName *LimitMembers::sender(const Endpoint &control) const
{
    const auto found = d->nameByControl.find(toString(control));
    return found == d->nameByControl.end() ? nullptr : &found->second;
}

std::size_t LimitMembers::Private::vanishedMembers(TimePoint now) const
{
    const auto within
        = [&](Milliseconds period) { return std::count_if(vanished.begin(), vanished.end(), [&](const auto &entry) { return now - entry.second < period; }); };
    const auto recent = static_cast<std::size_t>(within(options.vanishedPeriod));
    const auto all = static_cast<std::size_t>(within(options.minorityPeriod));
    return all >= live.size() ? all : recent;
}

std::size_t LimitMembers::known(TimePoint now) const
{
    return d->live.size() + d->vanishedMembers(now);
}

double LimitMembers::share(TimePoint now) const
{
    if (!d->seenOthers && !d->options.firstStart && now - d->options.started < d->options.aloneDelay) {
        return 0;
    }
    const bool cutOff = d->cutOffAt && now - *d->cutOffAt < d->options.rejoinTime;
    const auto active = cutOff ? 1 : d->live.size() - d->suspected;
    return static_cast<double>(active) / static_cast<double>(known(now));
}

bool LimitMembers::mayBePartitioned() const
{
    return d->suspected > std::max<std::size_t>(1, d->live.size() / 20);
}

double LimitMembers::phase(CustomerHash customer) const
{
    const auto &name = d->options.self.value();
    return static_cast<double>(XXH3_64bits_withSeed(name.data(), name.size(), customer.value()) >> 11) / static_cast<double>(std::uint64_t(1) << 53);
}

TimePoint LimitMembers::grantsSince() const
{
    return d->options.firstStart ? d->changed : std::max(d->changed, d->options.started + d->options.settleTime);
}

bool LimitMembers::startsFull(TimePoint now) const
{
    return d->options.firstStart && now - d->options.started < d->options.firstStartPeriod;
}

bool LimitMembers::hasSeenOthers() const
{
    return d->seenOthers || d->options.firstStart;
}

}
