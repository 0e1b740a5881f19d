#pragma once

#include "common/endpoint.h"
#include "common/identifiers.h"
#include "core/calls/callheadernames.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Galenahill {

enum class CallOutcome {
    // The complete response to this call arrived.
    Answered,
    // Rejected; the response says that the call did not run.
    NotRun,
    // Failed with a response that says that the call may have run, or without a response.
    Unknown,
    // A response arrived that belongs to another call.
    Mismatched,
};

// What ended a call, as its caller saw it.
enum class CallEnd {
    // A complete response arrived.
    Response,
    // The connection ended before the response, or in the middle of it.
    ClosedBeforeResponse,
    ClosedInResponse,
    // The caller's own deadline passed.
    TimedOut,
    // No byte of the call was sent.
    NotSent,
};

// The result of one call as seen by its caller.
struct CallRecord
{
    std::string id;
    std::string path;
    // Index of the ingress that the call was sent to.
    std::size_t ingress = 0;
    bool idempotent = false;
    CallOutcome outcome = CallOutcome::Unknown;
    CallEnd end = CallEnd::NotSent;
    int status = 0;
    // Time from the scheduled send time to the complete response, so that a stall counts for every
    // call that it delays (no coordinated omission).
    std::chrono::microseconds latency{0};
    // Scheduled send time, relative to the start of the run.
    std::chrono::microseconds scheduled{0};
    // When the call was sent and when it ended, by the monotonic clock.
    TimePoint sentAt;
    TimePoint endedAt;
    // Target that the response names, and what the response states of it.
    std::string target;
    std::string statedRateLimit;
    bool statedLeaving = false;
    // Key that the caller sent; empty if none.
    std::string key;
    // Time that the caller waits from sending the call.
    Milliseconds timeout{0};
    // Length of a complete response body, zero if it is short, and what arrived of the body.
    std::size_t responseBytes = 0;
    std::size_t receivedBytes = 0;
};

// Open-loop load generator: sends calls at a fixed rate, whether or not earlier ones have ended, unless the
// calls in flight are limited.
class LoadGenerator
{
public:
    struct CallKind
    {
        std::string method = "GET";
        std::string path;
        bool idempotent = true;
        std::uint32_t weight = 1;
        // Key of a customer that callers send; empty: none.
        std::string key;
        // Length of a complete response body; zero: that of the text that contains the call's id.
        std::size_t responseBytes = 0;
    };

    struct Options
    {
        std::vector<Endpoint> ingresses;
        std::vector<CallKind> kinds;
        // Calls per second.
        double rate = 1000;
        std::size_t calls = 1000;
        // Calls in flight at a time; further ones wait until one has ended. Zero: no limit. A limit keeps the
        // calls that piled up while a process was not scheduled from being sent all at once.
        std::size_t maxInFlight = 0;
        Milliseconds timeout{5000};
        std::uint64_t seed = 1;
        // Prefix of each call id, so that several runs can share the targets' ledgers.
        std::string idPrefix = "r";
        // Names of the header fields that callers send, and the value of their Host field. By default
        // the fields that galenahilld expects, and the address of the ingress.
        CallHeaderNames headerNames;
        std::string host;
    };

    explicit LoadGenerator(Options options);

    // Sends all calls and waits until each has ended. The records are in the order of sending.
    std::vector<CallRecord> run();

private:
    Options m_options;
};

}
