#pragma once

#include "common/identifiers.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace Galenahill {

// Decides which calls a node that is being stopped still sends to targets: those that are expected to be answered before the
// node ends the calls that are left. A call that would be cut off is better rejected as not run, since its caller can send it to
// another node at once.
class StopAdmission
{
public:
    struct Options
    {
        // Factors over the expected service time that have to be left. A call that must not be repeated leaves its caller
        // without a remedy if it is cut off, so it has to fit even if it takes several times as long as others.
        double repeatableMargin = 1.5;
        double unrepeatableMargin = 3;
    };

    struct Call
    {
        ServiceName service;
        bool repeatable = false;
        // Time until the call's deadline, and its latency objective; zero if it has none.
        Milliseconds timeLeft{0};
        Milliseconds objective{0};
        // Service time of the call's route; zero if unknown.
        Milliseconds serviceTime{0};
    };

    explicit StopAdmission(Options options);

    // A target of the service answered a call after that time.
    void recordAnswered(const ServiceName &service, std::chrono::microseconds time);

    // The node is being stopped, and ends all calls at that time.
    void beginStop(TimePoint callsEnd);

    // Whether the call may be sent to a target; always if the node isn't being stopped.
    bool admits(const Call &call, TimePoint now) const;

private:
    struct Average
    {
        double microseconds = 0;
        std::uint32_t samples = 0;
    };

    Milliseconds expectedTime(const Call &call) const;

    Options m_options;
    std::unordered_map<ServiceName, Average> m_averages;
    std::optional<TimePoint> m_callsEnd;
};

}
