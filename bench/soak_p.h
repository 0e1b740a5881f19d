#pragma once

#include "customerchecks.h"
#include "experiments.h"
#include "faultproxy.h"
#include "loadgenerator.h"
#include "lostchecks.h"
#include "pipeliningcallers.h"
#include "platformfleet.h"
#include "statementchecks.h"

#include <functional>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

namespace Galenahill {

// A guarantee that did not hold.
struct SoakViolation
{
    std::string guarantee;
    std::string description;
};

// One run: soak.cpp starts the fleet and sends the calls, soakchecks.cpp checks the records,
// soakfaults.cpp injects the faults, soakconfiguration.cpp changes the configuration and checks what is in force, soakplans.cpp performs planned work in series
// of their own, soakpipelining.cpp has the callers that pipeline, the proxies, and the stops during a response, soakfatalcalls.cpp sends requests that end
// their targets.
class Soak
{
public:
    explicit Soak(const ExperimentOptions &options);

    // Returns whether every guarantee held.
    bool run();

private:
    struct Fault
    {
        // Kind of the fault and its subject; a subject has at most one fault at a time.
        std::string kind;
        std::string subject;
        std::function<void()> begin;
        std::function<void()> end;
        Milliseconds minLength{100};
        // Whether calls may be lost by it.
        bool unplanned = true;
    };

    // A node that has got a SIGTERM in a series.
    struct Stopping
    {
        std::size_t node = 0;
        TimePoint until;
    };

    // A time in which the store did not serve the nodes as usual, all of them or some.
    struct StoreDisruption
    {
        TimePoint begin;
        TimePoint end;
        bool ofAllNodes = true;
    };

    // Each revision has a route that no other revision has.
    std::string document(int revision) const;
    Fault drawFault();
    Fault nodeFault(std::size_t node);
    Fault targetFault(std::size_t node);
    Fault targetStatement(std::size_t node);
    void restartTarget(std::size_t node);
    void recordDisruption(std::size_t node);
    void endDisruption(std::size_t node);
    Fault storeFault();
    Fault partialStoreFault(std::mt19937_64 &random);
    Fault storeDisruption(Fault fault, bool ofAllNodes);
    void setStoreProxies(const std::vector<std::size_t> &nodes, FaultProxy::Mode mode, Milliseconds delay = Milliseconds(0));
    void rejectAtStore(const std::vector<std::size_t> &nodes, unsigned status) const;
    void sendToStore(const std::string &path, const nlohmann::json &body) const;
    void changeInSeries(std::uint64_t seed);
    void impairStoreInSeries(std::uint64_t seed);
    int requiredRevision(std::size_t node, TimePoint now) const;
    bool servesAtLeast(std::size_t node, int revision) const;
    void checkForce();
    Fault connectionFault(const std::string &name, FaultProxy &proxy);
    void setStoreMode(const std::string &mode) const;
    void injectFaults();
    void waitUntilResponding(std::size_t node) const;
    void stopNode(std::size_t node);
    void endStop(std::size_t node);
    void recordPlannedWork(PlannedWork::Kind kind, std::size_t node);
    void recordUnplanned(TimePoint begin, TimePoint end);
    // Adds an entry to the list of what was injected, with the time since the first one.
    void recordFault(const std::string &text);
    // Reserves the subject; false if it has a fault.
    bool claim(const std::string &subject);
    void release(const std::string &subject);
    void changeConfiguration();
    void runSeries(std::uint64_t seed);
    void stopInSeries(std::mt19937_64 &random);
    bool beginStop(std::size_t node, std::vector<Stopping> &stopping);
    // Reserves the node if it responds; false if it can't be stopped now.
    bool claimForStop(std::size_t node);
    void sendStopSignal(std::size_t node, std::vector<Stopping> &stopping);
    void endStops(std::vector<Stopping> &stopping);
    void stopWhileAnswering(std::mt19937_64 &random);
    void restartStopped(std::vector<Stopping> &stopping);
    void slowTargetsDown(const std::vector<std::size_t> &nodes, std::mt19937_64 &random);
    void reload(std::size_t node);
    std::vector<std::size_t> chooseNodes(std::mt19937_64 &random) const;
    void checkCalls(const std::vector<CallRecord> &records);
    void checkStatements(const std::vector<CallRecord> &records);
    void callFatally();
    void sendFatalCalls(std::mt19937_64 &random, int content);
    void restartEndedTargets();
    void checkFatalCalls();
    void checkLost(const std::vector<CallRecord> &records);
    void printResult(const std::vector<CallRecord> &records) const;
    void checkCustomers(const std::vector<CallRecord> &records, const std::set<std::string> &rejectedKeys);
    void checkRecovery();
    int statusOf(std::size_t node, const std::string &path) const;
    void addViolation(std::string guarantee, std::string description);
    double callsPerSecond() const;
    void startTargetProxies();
    void startCallerProxies();
    std::vector<CallRecord> callInPipelines(bool throughProxies) const;
    PipeliningCallers::Options pipelineOptions(bool throughProxies) const;
    std::vector<CallRecord> callEverywhere();
    std::vector<CallRecord> call(std::size_t calls, const std::string &prefix, double rate) const;

    static constexpr std::size_t DataCentres = 3;
    static constexpr Milliseconds CallerTimeout{2500};
    static constexpr const char *Host = "soak.example";
    // Text in the path and the ids of requests that end the target which runs them.
    static constexpr const char *FatalMarker = "fatal";

    ExperimentOptions m_options;
    std::mt19937_64 m_random;
    bool m_largeFleet;
    // Whether the run has planned work only, and whether the VMs' links are too slow for the load.
    bool m_plannedOnly;
    bool m_slowLinks;
    // Whether the store has faults in a series that leave some nodes able to read it, instead of faults that concern all nodes.
    bool m_storeServesSome;
    // Whether other threads use all cores beside the nodes.
    bool m_busyCores;
    std::size_t m_nodes;
    PlatformFleet m_fleet;
    // Between each node and the store.
    std::vector<std::unique_ptr<FaultProxy>> m_storeProxies;
    std::vector<std::unique_ptr<FaultProxy>> m_targetProxies;
    // Between callers and the ingresses, for the callers that are far away.
    std::vector<std::unique_ptr<FaultProxy>> m_callerProxies;
    // Guards what the series and the faults share: the members below.
    mutable std::mutex m_mutex;
    // Held while a configuration is written, so that revisions are written in order.
    std::mutex m_configurationMutex;
    // Subjects that have a fault at present.
    std::set<std::string> m_faultySubjects;
    int m_revision = 1;
    Milliseconds m_length;
    TimePoint m_begin;
    std::vector<std::string> m_injectedFaults;
    std::vector<NodeDisruption> m_disruptions;
    std::vector<PlannedWork> m_plannedWork;
    std::vector<StoreDisruption> m_storeDisruptions;
    // Revisions by the time of their acknowledgement.
    std::vector<std::pair<int, TimePoint>> m_acknowledged;
    std::size_t m_forceChecks = 0;
    std::vector<TimeSpan> m_unplanned;
    // Calls that the series sent to nodes in order to stop them during the response.
    std::vector<CallRecord> m_interruptedCalls;
    std::size_t m_interruptions = 0;
    int m_fatalRequests = 0;
    std::size_t m_endedTargets = 0;
    LostCalls m_lost;
    std::vector<SoakViolation> m_violations;
};

}
