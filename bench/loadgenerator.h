#pragma once

#include "common/endpoint.h"
#include "common/identifiers.h"
#include "core/calls/calldialect.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Galenahill {

enum class CallOutcome {
    // The whole answer to this very call came.
    Answered,
    // Refused, and said not to have run.
    NotRun,
    // Failed, and said that it may have run; or no answer came.
    Unknown,
    // An answer came that belongs to another call.
    Crossed,
};

// What became of one call, as its caller saw it.
struct CallRecord
{
    std::string id;
    std::string path;
    // Index of the ingress that took it.
    std::size_t ingress = 0;
    bool idempotent = false;
    CallOutcome outcome = CallOutcome::Unknown;
    int status = 0;
    // From the scheduled time to the whole answer, so that a stall counts for
    // every call that it delays.
    std::chrono::microseconds latency{0};
    // From the start of the run.
    std::chrono::microseconds scheduled{0};
};

// Sends calls at a fixed rate whatever becomes of earlier ones (open loop).
class LoadGenerator
{
public:
    struct CallKind
    {
        std::string method = "GET";
        std::string path;
        bool idempotent = true;
        std::uint32_t weight = 1;
    };

    struct Options
    {
        std::vector<Endpoint> ingresses;
        std::vector<CallKind> kinds;
        // Calls a second.
        double rate = 1000;
        std::size_t calls = 1000;
        Milliseconds timeout{5000};
        std::uint64_t seed = 1;
        // Begins each call's id, so that several runs share ledgers.
        std::string idPrefix = "r";
        // Names of the fields that callers use, and the host that they name; by
        // default those of the INI nodes, and the ingress itself.
        CallDialect dialect;
        std::string host;
    };

    explicit LoadGenerator(Options options);

    // Sends all calls and waits for each; the records are in sending order.
    std::vector<CallRecord> run();

private:
    Options m_options;
};

}
