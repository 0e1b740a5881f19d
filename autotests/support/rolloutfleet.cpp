#include "rolloutfleet.h"

#include <algorithm>
#include <string>

namespace Galenahill::Test {

RolloutFleet::RolloutFleet(Options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
    const auto count = m_options.oldTargets + m_options.newTargets;
    for (std::size_t i = 0; i < count; ++i) {
        m_nodes.push_back({.record = recordOf(i)});
        start(i);
    }
}

RolloutFleet::Result RolloutFleet::run()
{
    m_spec = {Service, TargetVersion("v2"), m_options.duration, ObjectVersion(10)};
    changeStore(std::nullopt);
    const auto steps = static_cast<std::size_t>(m_options.duration * 1.3 / Step);
    for (std::size_t step = 0; step < steps; ++step) {
        m_now += Step;
        m_seconds += std::chrono::duration<double>(Step).count();
        deliver();
        endCalls();
        beginCalls();
        if (step % (Tick / Step) == 0) {
            tick();
        }
    }
    return m_result;
}

double RolloutFleet::uniform()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

bool RolloutFleet::isNew(std::size_t node) const
{
    return node >= m_options.oldTargets;
}

MemberRecord RolloutFleet::recordOf(std::size_t i) const
{
    MemberRecord record;
    record.name = NodeName("node-" + std::to_string(i));
    record.dataCentre = DataCentre("dc-" + std::to_string(i % 4));
    record.service = Service;
    record.address = "10.0.0." + std::to_string(i);
    record.controlPort = 7000;
    record.incarnation = 1;
    record.version = TargetVersion(isNew(i) ? "v2" : "v1");
    record.state = MemberState::Ready;
    return record;
}

std::vector<MemberRecord> RolloutFleet::members() const
{
    std::vector<MemberRecord> members;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (!isNew(i) || m_seconds >= NewReadyAt) {
            members.push_back(m_nodes[i].record);
        }
    }
    return members;
}

void RolloutFleet::start(std::size_t i)
{
    auto &node = m_nodes[i];
    ++node.record.incarnation;
    node.controller = std::make_unique<RolloutController>(RolloutController::Options{.self = node.record,
        .seed = m_options.seed * 1000 + i,
        .send = [this, i](const Endpoint &to, const RolloutReport &report) { send(i, to, report); },
        .targetIdle = [this, i] { return m_nodes[i].running.empty(); },
        .changed = [](const RolloutRecord &, const std::string &) {}});
    node.split = std::make_unique<VersionSplit>(m_options.seed * 1000 + i);
    node.controller->setLocalVersion(node.record.version, isNew(i) ? m_now + std::chrono::seconds(5) - timeSinceStart() : m_now);
    node.controller->setMembers(members(), m_now);
    node.read = ObjectVersion();
}

Milliseconds RolloutFleet::timeSinceStart() const
{
    return Milliseconds(static_cast<std::int64_t>(std::min(m_seconds, NewWarmAt) * 1000));
}

void RolloutFleet::changeStore(std::optional<RolloutStage> stage)
{
    m_version = ObjectVersion(m_version.value() + 1);
    m_stage = stage;
    if (stage) {
        m_result.written.push_back(*stage);
        m_result.writtenAt = m_seconds;
    }
    if (stage == RolloutStage::Succeeded) {
        for (std::size_t i = 0; i < m_options.oldTargets; ++i) {
            m_result.runningOnOld += m_nodes[i].running.size();
        }
    }
}

void RolloutFleet::send(std::size_t from, const Endpoint &to, const RolloutReport &report)
{
    const auto target = static_cast<std::size_t>(std::stoul(to.address.substr(to.address.rfind('.') + 1)));
    m_result.datagramBytes += 60 * report.records.size() + 60 * report.counts.size();
    if (m_options.isPartitioned(from, m_seconds) || m_options.isPartitioned(target, m_seconds) || uniform() < m_options.datagramLoss) {
        return;
    }
    const Milliseconds delay(static_cast<std::int64_t>(1 + 30 * uniform()));
    m_datagrams.push_back({m_now + delay, from, target, report});
}

void RolloutFleet::deliver()
{
    std::vector<Datagram> due;
    std::partition_copy(m_datagrams.begin(), m_datagrams.end(), std::back_inserter(due), m_datagrams.begin(), [this](const Datagram &datagram) {
        return datagram.due <= m_now;
    });
    m_datagrams.resize(m_datagrams.size() - due.size());
    for (const auto &datagram : due) {
        m_nodes[datagram.to].controller->receive(m_nodes[datagram.from].record.control(), datagram.report, m_now);
        updateRule(datagram.to);
    }
}

void RolloutFleet::updateRule(std::size_t node)
{
    const auto rules = m_nodes[node].controller->rules(m_now);
    const auto rule = rules.find(Service);
    m_nodes[node].rule = rule == rules.end() ? std::nullopt : std::optional(rule->second);
    m_nodes[node].localRule = m_nodes[node].controller->localRule(m_now);
}

bool RolloutFleet::accepts(std::size_t target, bool assigned) const
{
    const auto &rule = m_nodes[target].localRule;
    if (!rule) {
        return true;
    }
    const bool ofVersion = m_nodes[target].record.version == rule->version;
    switch (rule->mode) {
    case VersionRule::Mode::Canary:
        return !ofVersion || assigned;
    case VersionRule::Mode::Excluded:
        return !ofVersion;
    case VersionRule::Mode::Only:
        return ofVersion;
    }
    return false;
}

std::optional<std::size_t> RolloutFleet::chooseTarget(bool onNew, bool assigned, const std::vector<NodeName> &chosen)
{
    const auto first = onNew ? m_options.oldTargets : 0;
    const auto count = onNew ? m_options.newTargets : m_options.oldTargets;
    const auto offset = std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    for (std::size_t i = 0; i < count; ++i) {
        const auto target = first + (offset + i) % count;
        const auto &node = m_nodes[target];
        const bool isChosen = chosen.empty() || std::find(chosen.begin(), chosen.end(), node.record.name) != chosen.end();
        if (isChosen && node.running.size() < m_options.slots && accepts(target, assigned)) {
            return target;
        }
    }
    return std::nullopt;
}

void RolloutFleet::beginCalls()
{
    const auto mean = m_options.callsPerSecond * m_options.burst(m_seconds) * std::chrono::duration<double>(Step).count();
    const auto arrivals = std::poisson_distribution<int>(mean)(m_random);
    for (int i = 0; i < arrivals; ++i) {
        beginCall(std::uniform_int_distribution<std::size_t>(0, m_nodes.size() - 1)(m_random));
    }
}

void RolloutFleet::beginCall(std::size_t ingress)
{
    ++m_result.calls;
    const auto rule = m_nodes[ingress].rule.value_or(VersionRule{.mode = VersionRule::Mode::Excluded});
    const bool canary = rule.mode == VersionRule::Mode::Canary;
    const bool only = rule.mode == VersionRule::Mode::Only;
    const bool assigned = m_seconds >= NewReadyAt && canary && m_nodes[ingress].split->next(Service, rule.share);
    auto target = assigned || only ? chooseTarget(true, assigned, rule.targets) : std::nullopt;
    if (!target && !only) {
        target = chooseTarget(false, false, {});
    }
    if (!target) {
        ++m_result.callsWithoutTarget;
        return;
    }
    run(*target);
}

void RolloutFleet::run(std::size_t target)
{
    auto &node = m_nodes[target];
    const bool ofNew = isNew(target);
    Call call;
    call.route = std::uniform_int_distribution<std::size_t>(0, m_options.routeMs.size() - 1)(m_random);
    const Situation situation{.ofNewVersion = ofNew,
        .target = target,
        .route = call.route,
        .seconds = m_seconds,
        .load = static_cast<double>(node.running.size()) / static_cast<double>(m_options.slots),
        .isOddCall = m_result.calls % 2 == 1};
    const auto behaviour = m_options.behaviour(situation);
    const double speeds[] = {0.67, 1, 1, 2};
    const double cold = ofNew && m_seconds < NewWarmAt ? 2 : 1;
    const double work = std::lognormal_distribution<double>(-0.11, 0.47)(m_random);
    const double latency = m_options.routeMs[call.route] * work * speeds[target % 4] * cold * behaviour.slowdown;
    const double timeout = 6 * m_options.routeMs[call.route];
    const bool fails = uniform() < behaviour.failureRate + 0.001;
    call.result = fails ? TargetResult::Failed : latency > timeout ? TargetResult::Abandoned : TargetResult::Answered;
    call.time = Milliseconds(static_cast<std::int64_t>(std::min(latency, timeout)));
    call.end = m_now + call.time;
    call.bad = ofNew && (fails || behaviour.slowdown > 2);
    node.running.push_back(call);
    if (ofNew) {
        ++m_result.newVersionCalls;
        m_result.lateNewVersionCalls += m_fiftiethBadAt && m_seconds > *m_fiftiethBadAt + 5 ? 1 : 0;
    }
}

void RolloutFleet::endCalls()
{
    for (auto &node : m_nodes) {
        std::erase_if(node.running, [&](const Call &call) {
            if (call.end > m_now) {
                return false;
            }
            node.controller->callEnded(RouteName("route-" + std::to_string(call.route)), call.result, call.time, m_now);
            m_result.badResponses += call.bad ? 1 : 0;
            if (m_result.badResponses >= 50 && !m_fiftiethBadAt) {
                m_fiftiethBadAt = m_seconds;
            }
            return true;
        });
    }
}

void RolloutFleet::tick()
{
    const auto all = members();
    const bool joined = all.size() != m_members;
    m_members = all.size();
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        auto &node = m_nodes[i];
        const bool restarting = m_options.restarts(i, m_seconds);
        if (restarting && !node.wasRestarting && (!isNew(i) || m_seconds >= NewReadyAt)) {
            start(i);
        }
        node.wasRestarting = restarting;
        if (isNew(i) && m_seconds < NewReadyAt) {
            continue;
        }
        if (joined) {
            node.controller->setMembers(all, m_now);
        }
        readStore(i);
        node.controller->tick(m_now);
        writeStore(i);
        updateRule(i);
    }
}

void RolloutFleet::readStore(std::size_t i)
{
    auto &node = m_nodes[i];
    const bool reads = node.controller->isEvaluator() && node.read != m_version && m_options.storeResponds(i, m_seconds);
    if (reads) {
        node.controller->specRead({m_spec, m_version, m_stage}, node.read == ObjectVersion(), m_now);
        node.read = m_version;
    }
}

void RolloutFleet::writeStore(std::size_t i)
{
    auto &node = m_nodes[i];
    for (const auto &write : node.controller->dueWrites(m_now)) {
        if (!m_options.storeResponds(i, m_seconds)) {
            continue;
        }
        if (write.expected != m_version) {
            node.read = ObjectVersion(1);
            readStore(i);
            continue;
        }
        changeStore(write.stage);
        // One response in four is lost after the write.
        if (uniform() < 0.75) {
            node.controller->writeCompleted(write, m_version, m_now);
        }
    }
}

}
