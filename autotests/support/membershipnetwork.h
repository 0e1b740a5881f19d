#pragma once

#include "core/fleet/membership.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>

namespace Galenahill {

// Several members connected by an in-memory network that drops, duplicates, reorders or blocks
// datagrams on demand. Time advances only in `run`.
class MembershipNetwork
{
public:
    // All members know each other at the start; `change` may override the default options.
    explicit MembershipNetwork(std::size_t count, std::function<void(Membership::Options &)> change = {})
        : m_change(std::move(change))
    {
        for (std::size_t i = 0; i < count; ++i) {
            incarnations.push_back(1000);
            revisions.push_back(Revision(1));
            members.emplace_back();
            start(i);
        }
        const auto records = recordsOf(count);
        for (auto &member : members) {
            member->mergeFromStore(records, now);
        }
    }

    // Restarts the member with its current incarnation number.
    void start(std::size_t i)
    {
        Membership::Options options;
        options.self.name = NodeName(name(i));
        options.self.dataCentre = DataCentre("rosario-a");
        options.self.service = ServiceName("tablero");
        options.self.address = "10.0.0." + std::to_string(i);
        options.self.controlPort = 1;
        options.self.incarnation = incarnations[i];
        options.self.state = MemberState::Ready;
        options.seed = i + 1;
        options.send = [this, i](const Endpoint &to, const GossipMessage &message) { send(i, to, message); };
        options.changed = [] {};
        options.revision = [this, i] { return revisions[i]; };
        options.revisionAdvertised = [this, i](const Endpoint &, Revision revision) { adoptRevision(i, revision); };
        if (m_change) {
            m_change(options);
        }
        members[i] = std::make_unique<Membership>(std::move(options));
    }

    void run(Milliseconds time)
    {
        const auto until = now + time;
        while (now < until) {
            now += Milliseconds(50);
            for (std::size_t i = 0; i < members.size(); ++i) {
                if (!stopped.contains(i)) {
                    members[i]->tick(now);
                }
            }
            deliver();
        }
    }

    // Runs until the condition holds or the limit is reached; returns the elapsed time.
    Milliseconds runUntil(const std::function<bool()> &holds, Milliseconds limit)
    {
        const auto begin = now;
        while (!holds() && now - begin < limit) {
            run(Milliseconds(50));
        }
        return std::chrono::duration_cast<Milliseconds>(now - begin);
    }

    // State in which one member sees another; Gone also if it doesn't know it.
    MemberState stateSeenBy(std::size_t observer, std::size_t subject) const
    {
        for (const auto &record : members[observer]->records()) {
            if (record.name.value() == name(subject)) {
                return record.state;
            }
        }
        return MemberState::Gone;
    }

    // Whether each running member sees all other running ones as ready.
    bool allReady() const
    {
        for (std::size_t i = 0; i < members.size(); ++i) {
            for (std::size_t j = 0; j < members.size() && !stopped.contains(i); ++j) {
                if (!stopped.contains(j) && i != j && stateSeenBy(i, j) != MemberState::Ready) {
                    return false;
                }
            }
        }
        return true;
    }

    // Whether each running member except the subject sees it in this state.
    bool allSee(std::size_t subject, MemberState state) const
    {
        for (std::size_t i = 0; i < members.size(); ++i) {
            if (i != subject && !stopped.contains(i) && stateSeenBy(i, subject) != state) {
                return false;
            }
        }
        return true;
    }

    bool allHold(Revision revision) const
    {
        return std::all_of(revisions.begin(), revisions.end(), [&](Revision held) { return held >= revision; });
    }

    std::vector<MemberRecord> recordsOf(std::size_t count) const
    {
        std::vector<MemberRecord> records;
        for (std::size_t i = 0; i < count; ++i) {
            records.push_back(members[i]->self());
        }
        return records;
    }

    static std::string name(std::size_t i)
    {
        return "rosario-a-" + std::to_string(i);
    }

    std::vector<std::unique_ptr<Membership>> members;
    std::vector<std::uint64_t> incarnations;
    std::vector<Revision> revisions;
    std::set<std::size_t> stopped;
    TimePoint now = TimePoint() + std::chrono::hours(1);
    double lossRatio = 0;
    double duplicateRatio = 0;
    // Delivers the datagrams of a step in random order.
    bool reordering = false;
    // Whether datagrams between the two members get through.
    std::function<bool(std::size_t, std::size_t)> connected = [](std::size_t, std::size_t) { return true; };
    std::size_t datagrams = 0;
    // Called with each datagram that is sent.
    std::function<void(const GossipMessage &)> sent = [](const GossipMessage &) {};

private:
    struct Datagram
    {
        std::size_t from;
        std::size_t to;
        GossipMessage message;
    };

    void send(std::size_t from, const Endpoint &to, const GossipMessage &message)
    {
        ++datagrams;
        sent(message);
        const auto receiver = std::stoul(to.address.substr(7));
        if (chance(lossRatio) || !connected(from, receiver)) {
            return;
        }
        m_inFlight.push_back({from, receiver, message});
        if (chance(duplicateRatio)) {
            m_inFlight.push_back({from, receiver, message});
        }
    }

    bool chance(double ratio)
    {
        return std::uniform_real_distribution<>(0, 1)(m_random) < ratio;
    }

    // Stands in for the pull: a member that learns of a newer revision has it at once.
    void adoptRevision(std::size_t i, Revision revision)
    {
        if (revision > revisions[i]) {
            revisions[i] = revision;
            m_adopted.insert(i);
        }
    }

    void deliver()
    {
        while (!m_inFlight.empty()) {
            if (reordering) {
                std::shuffle(m_inFlight.begin(), m_inFlight.end(), m_random);
            }
            const auto datagram = m_inFlight.front();
            m_inFlight.pop_front();
            if (!stopped.contains(datagram.to)) {
                members[datagram.to]->receive({"10.0.0." + std::to_string(datagram.from), 1}, datagram.message, now);
            }
        }
        const auto adopted = std::exchange(m_adopted, {});
        for (const auto i : adopted) {
            members[i]->announceRevision(now);
        }
    }

    std::function<void(Membership::Options &)> m_change;
    std::mt19937_64 m_random{7};
    std::deque<Datagram> m_inFlight;
    std::set<std::size_t> m_adopted;
};

}
