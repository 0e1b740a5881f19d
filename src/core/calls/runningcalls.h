#pragma once

#include "core/calls/runningcall.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Galenahill {

// The calls that the local target is executing, by id. A call whose response was lost, or that was
// cancelled, may still be executed until its deadline and make nested calls, so it is kept until then.
class RunningCalls
{
public:
    // The call was sent to the target.
    void started(const std::string &id, RunningCall call, TimePoint now);

    // The target responded to the call.
    void answered(const std::string &id);

    // The call ended without a response; the target stops executing it at the deadline at the latest.
    void unanswered(const std::string &id, TimePoint deadline);

    // The call with that id, if the target may be executing it.
    std::optional<RunningCall> find(std::string_view id, TimePoint now) const;

    std::size_t size() const;

private:
    struct Entry
    {
        RunningCall call;
        // When the call is forgotten; the end of time while a response is expected.
        TimePoint until = TimePoint::max();
    };

    void removeExpired(TimePoint now);

    std::unordered_map<std::string, Entry> m_calls;
    std::multimap<TimePoint, std::string> m_expiry;
};

}
