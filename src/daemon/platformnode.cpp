#include "daemon/platformnode.h"

#include "adapters/codec/binarycodec.h"
#include "adapters/http/sleep.h"
#include "daemon/calls/responsesender.h"
#include "daemon/platformnode_p.h"

#include <algorithm>
#include <utility>

namespace Galenahill {

namespace {

// Schedule of a planned stop, from its beginning. Callers learn of it through the
// readiness address, which the platform polls once a second and acts upon after two
// misses. The target goes on working meanwhile, so the other nodes are informed later.
constexpr Milliseconds LeaveDelay{1300};
constexpr Milliseconds SidecarDrainDelay{1800};
constexpr Milliseconds IngressDrainDelay{2300};
constexpr Milliseconds StopMargin{400};
constexpr Milliseconds StopCheckInterval{20};

// Time before the end of a stop at which calls without a response are answered by the node itself, so
// that the answers arrive.
constexpr Milliseconds FinalAnswerTime{400};

// Time between two checks for idle connections, which are closed to free their memory.
constexpr Milliseconds TrimInterval{1000};

const char *eventName(CallResult result)
{
    switch (result) {
    case CallResult::Answered:
        return "call-answered";
    case CallResult::TargetFailed:
        return "call-failed";
    case CallResult::NotRun:
        return "call-refused";
    case CallResult::OutcomeUnknown:
        return "call-unknown";
    }
    return "call-unknown";
}

}

PlatformNode::PlatformNode(asio::io_context &context, Options options)
    : d(std::make_unique<Private>(context, std::move(options)))
{
}

PlatformNode::~PlatformNode() = default;

Result<void> PlatformNode::start()
{
    for (auto *server : {&d->readinessServer, &d->registrationServer, &d->peerServer, &d->sidecarServer, &d->ingressServer}) {
        if (const auto listening = server->listen(); !listening) {
            return listening;
        }
    }
    if (d->settings.metrics.port != 0) {
        if (const auto listening = d->metricsServer.listen(); !listening) {
            return listening;
        }
    }
    if (const auto opened = d->datagrams.open(); !opened) {
        return opened;
    }
    d->configWatcher.start();
    d->directory.start();
    d->rollouts.start();
    asio::co_spawn(d->context, d->tick(), asio::detached);
    d->log(LogLevel::Info,
        "started",
        {{"address", d->self.address},
            {"service", d->settings.service.value()},
            {"data_centre", d->settings.dataCentre.value()},
            {"first_start", d->settings.firstStart}});
    return {};
}

asio::awaitable<void> PlatformNode::Private::tick()
{
    for (;;) {
        previousTick = std::exchange(lastTick, Clock::now());
        checkClock();
        trimConnections();
        fleet.tick();
        storeMonitor.tick();
        loads.tick(Clock::now());
        limits.tick();
        quarantine.tick(Clock::now());
        ingress.setRetryBudget(retryShare.budget(Clock::now()));
        targetService.tick();
        rollouts.tick();
        publishWithheldTarget();
        applyVersionRules();
        if (ready() != wasReady) {
            wasReady = ready();
            log(LogLevel::Info, "readiness", {{"ready", wasReady}, {"revision", state->revisions.revision().value()}, {"others", fleet.peerCount()}});
        }
        ErrorCode ignored;
        ticker.expires_after(FleetControl::TickInterval);
        co_await ticker.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void PlatformNode::Private::targetChanged(const TargetAnnouncement &target, MemberState newState)
{
    targetState = newState;
    targetWithheld = newState == MemberState::Ready && !rollouts.isSynced();
    rollouts.setLocalVersion(target.version, target.warmUpRemaining);
    const auto published = targetWithheld ? MemberState::Starting : newState;
    sidecar.targetAnnounced(target, published);
    fleet.targetStateChanged(published, target.version);
}

void PlatformNode::Private::publishWithheldTarget()
{
    if (const auto &target = targetService.target(); target && targetWithheld && rollouts.isSynced()) {
        targetChanged(*target, targetState);
    }
}

// Sets the rules at the sidecar first, so that it admits no call to the target that they
// forbid when the fleet's view is published.
void PlatformNode::Private::applyVersionRules()
{
    sidecar.setVersionRule(rollouts.localRule());
    fleet.setVersionRules(rollouts.rules());
}

void PlatformNode::Private::trimConnections()
{
    const auto now = Clock::now();
    if (now - lastTrim >= TrimInterval) {
        lastTrim = now;
        client.trimIdle();
    }
}

void PlatformNode::Private::checkClock()
{
    const auto step = clockStepDetector.observe(std::chrono::system_clock::now(), Clock::now());
    if (step.count() != 0) {
        log(LogLevel::Warning, "clock-stepped", {{"step_ms", step.count()}, {"steps", clockStepDetector.steps()}});
    }
}

void PlatformNode::Private::datagramReceived(const Endpoint &from, const std::string &bytes)
{
    const auto logRejection = [&](const Error &error) { log(LogLevel::Warning, "datagram-refused", {{"from", toString(from)}, {"reason", error.message}}); };
    limits.heard();
    if (isLoadReport(bytes)) {
        const auto report = decodeLoadReport(bytes);
        report ? loads.receive(from, *report, Clock::now()) : logRejection(report.error());
    } else if (isLeaseMessage(bytes)) {
        const auto message = decodeLeaseMessage(bytes);
        message ? limits.messageReceived(from, *message) : logRejection(message.error());
    } else if (isQuarantineMessage(bytes)) {
        const auto message = decodeQuarantineMessage(bytes);
        message ? quarantine.messageReceived(from, *message, Clock::now()) : logRejection(message.error());
    } else if (isStoreReading(bytes)) {
        const auto reading = decodeStoreReading(bytes);
        reading ? storeMonitor.readingReceived(from, *reading) : logRejection(reading.error());
    } else if (isRolloutReport(bytes)) {
        const auto report = decodeRolloutReport(bytes);
        report ? rollouts.reportReceived(from, *report) : logRejection(report.error());
    } else {
        fleet.datagramReceived(from, bytes);
    }
}

bool PlatformNode::Private::ready() const
{
    const bool configured = state->revisions.revision() > Revision();
    return !stopping && configured && fleet.isReady() && directory.initialLookupDone();
}

asio::awaitable<HttpResponse> PlatformNode::Private::answerReadiness()
{
    co_return ready() ? makeResponse(http::status::ok, "text/plain", "ready")
                      : makeErrorResponse(http::status::service_unavailable, "not-ready", stopping ? "this node is stopping" : "this node is starting");
}

std::string PlatformNode::Private::healthPath() const
{
    const auto current = state->revisions.current();
    const auto *service = current ? current->snapshot->service(settings.service) : nullptr;
    return service == nullptr ? ServiceDefinition().healthPath : service->healthPath;
}

std::string PlatformNode::Private::stageMetricsText() const
{
    constexpr const char *Labels[] = {"stage=\"whole\"", "stage=\"line\"", "stage=\"body\"", "stage=\"target\"", "stage=\"link\""};
    std::string text = "# TYPE galenahill_stage_milliseconds histogram\n";
    for (std::size_t stage = 0; stage < stages.size(); ++stage) {
        text += stages[stage].prometheusText("galenahill_stage_milliseconds", Labels[stage]);
    }
    return text;
}

NodeGauges PlatformNode::Private::gauges() const
{
    auto values = limits.gauges();
    const auto rateLimit = sidecar.rateLimiter().limit();
    const auto &responses = sidecar.responseSender();
    values.merge(NodeGauges{{"revision_in_force", static_cast<double>(state->revisions.revision().value())},
        {"members_live", static_cast<double>(fleet.peerCount() + 1)},
        {"ready", ready() ? 1 : 0},
        {"target_ready", targetService.state() == MemberState::Ready ? 1 : 0},
        {"target_calls_running", sidecar.inFlight()},
        {"target_slots_reserved", sidecar.reservedSlots()},
        {"target_calls_sent", static_cast<double>(sidecar.callsSent())},
        {"target_rate_limit", rateLimit ? rateLimit->value() : -1},
        {"target_rate_limit_age_ms", rateLimit ? static_cast<double>(sidecar.rateLimiter().age(Clock::now()).count()) : 0},
        {"calls_over_rate_limit", static_cast<double>(sidecar.rateLimitedCalls())},
        {"responses_admitted", static_cast<double>(responses.counts().admitted)},
        {"responses_waited", static_cast<double>(responses.counts().waited)},
        {"responses_rejected", static_cast<double>(responses.counts().rejected)},
        {"responses_dropped", static_cast<double>(responses.counts().dropped)},
        {"responses_interrupted", static_cast<double>(responses.counts().interrupted)},
        {"responses_buffered_bytes", static_cast<double>(responses.schedule().bufferedBytes())},
        {"responses_backlog_bytes", static_cast<double>(responses.schedule().backlogBytes())},
        {"customers_above_share", static_cast<double>(sidecar.customersAboveShare())},
        {"calls_refused_above_share", static_cast<double>(sidecar.rejectedAboveShare())},
        {"store_age_ms", static_cast<double>(configWatcher.storeAge(Clock::now()).value_or(Milliseconds(-1)).count())},
        {"store_reading_age_ms", static_cast<double>(storeMonitor.age().count())},
        {"store_checks", static_cast<double>(storeMonitor.checks())},
        {"store_checks_failed", static_cast<double>(storeMonitor.failedChecks())},
        {"store_stand_in", storeMonitor.standsIn() ? 1.0 : 0.0},
        {"revisions_refused", static_cast<double>(configWatcher.rejectedRevisions())},
        {"store_calls", static_cast<double>(store->calls())},
        {"calls_gave_way", static_cast<double>(ingress.shedCalls())},
        {"calls_without_time", static_cast<double>(ingress.callsWithoutTime())},
        {"calls_returned", static_cast<double>(ingress.returnedCalls())},
        {"call_retries", static_cast<double>(ingress.retries())},
        {"attempts_replaced", static_cast<double>(ingress.attemptsReplaced())},
        {"replacements_rejected", static_cast<double>(ingress.replacementsRejected())},
        {"replacements_unused", static_cast<double>(ingress.replacementsUnused())},
        {"responses_ended_early", static_cast<double>(ingress.responsesEndedEarly())},
        {"connections_ended_unacknowledged", static_cast<double>(connectionLog.endedUnacknowledged())},
        {"connections_ended_unread", static_cast<double>(connectionLog.endedUnread())},
        {"load_targets_known", static_cast<double>(loads.knownTargets())},
        {"load_oldest_ms", static_cast<double>(loads.oldestTargetAge(Clock::now()).count())},
        {"load_reports_dropped", static_cast<double>(loads.dropped())},
        {"target_ends_seen", static_cast<double>(quarantine.counts().endsSeen)},
        {"target_ends_reported", static_cast<double>(quarantine.counts().endsReported)},
        {"requests_suspected", static_cast<double>(quarantine.table().suspects(Clock::now()))},
        {"requests_quarantined", static_cast<double>(quarantine.table().quarantined(Clock::now()))},
        {"requests_cleared", static_cast<double>(quarantine.counts().requestsCleared)},
        {"calls_quarantined", static_cast<double>(ingress.quarantinedCalls())},
        {"quarantine_messages_dropped", static_cast<double>(quarantine.counts().messagesDropped)},
        {"retry_share_members", static_cast<double>(retryShare.members(Clock::now()))},
        {"clock_steps", static_cast<double>(clockStepDetector.steps())},
        {"datagram_bytes", static_cast<double>(datagrams.bytes())},
        {"client_bytes", static_cast<double>(client.bytes())}});
    return values;
}

asio::awaitable<HttpResponse> PlatformNode::Private::answerPeer(HttpRequest request)
{
    const auto target = request.target();
    if (request.method() == http::verb::get && target == "/members") {
        co_return makeResponse(http::status::ok, "application/octet-stream", encode(state->members()));
    }
    constexpr boost::beast::string_view ConfigPrefix = "/config?base=";
    if (request.method() == http::verb::get && target.starts_with(ConfigPrefix)) {
        co_return exchange.serve(std::string(target.substr(ConfigPrefix.size())));
    }
    if (request.method() == http::verb::get && target == "/metrics") {
        co_return makeResponse(http::status::ok,
            "text/plain; version=0.0.4",
            metricsText(gauges(), metrics.report(Clock::now())) + stageMetricsText() + rollouts.metricsText() + customerMetricsText(customers.report())
                + retryMetricsText(ingress.retryCounts()));
    }
    co_return makeErrorResponse(http::status::not_found, "not-found", "unknown method or path; this address serves /config, /members and /metrics");
}

asio::awaitable<void> PlatformNode::Private::pull(Endpoint peer)
{
    const auto revision = co_await exchange.pull(peer);
    if (revision) {
        fleet.revisionReceived(*revision, RevisionSource::Member);
    } else {
        log(LogLevel::Warning, "pull-failed", {{"peer", toString(peer)}, {"reason", revision.error().message}});
    }
    fleet.pullEnded(peer);
}

void PlatformNode::Private::stageEnded(CallStage stage, std::chrono::microseconds time)
{
    stages[static_cast<std::size_t>(stage)].add(time);
}

void PlatformNode::Private::logCall(const CallReport &call)
{
    stageEnded(CallStage::Total, call.latency);
    const bool plain = call.result == CallResult::Answered && call.offerCount <= 1 && call.version.value().empty();
    log(plain ? LogLevel::Debug : LogLevel::Info,
        call.cancelled ? "call-cancelled" : eventName(call.result),
        {{"id", call.id.value()},
            {"route", call.route.value()},
            {"customer", call.customer.value()},
            {"type", toString(call.type)},
            {"service", call.service.value()},
            {"version_on_trial", call.version.value()},
            {"revision", call.revision.value()},
            {"store_age_ms", configWatcher.storeAge(Clock::now()).value_or(Milliseconds(-1)).count()},
            {"status", call.status},
            {"target", call.target.value()},
            {"asked", call.offerCount},
            {"sent", call.attemptsSent},
            {"not_run_by", call.notRunBy},
            {"ms", static_cast<double>(call.latency.count()) / 1000},
            {"left_ms", call.timeLeft.count()},
            {"told_wait_ms", call.reportedWait ? call.reportedWait->count() : -1},
            {"backlog_ms", call.backlog ? call.backlog->count() : -1},
            {"retry_after_ms", call.retryAfter ? call.retryAfter->count() : -1},
            {"wait_bound_ms", call.waitBound ? call.waitBound->wait.count() : -1},
            {"service_ms", call.waitBound ? call.waitBound->serviceTime.count() : -1},
            {"waited_before_ms", call.waitedBefore.count()},
            {"wait_counts", call.waitCounts},
            {"for_running_call", call.hasRunningParent},
            {"digest", toString(call.digest)},
            {"target_ends", call.targetEnds},
            {"replaced_attempts", call.replacedAttempts},
            {"replaced_after_ms", call.replacedAfter.count()},
            {"replacements_rejected", call.rejectedReplacements},
            {"replacements_unused", call.unusedReplacements},
            {"caller", call.caller},
            {"caller_port", call.callerPort},
            {"reason", call.reason}});
}

void PlatformNode::reload(const PlatformNodeSettings &settings)
{
    d->settings.seeds = settings.seeds;
    const bool moved = settings.ingress != d->settings.ingress || settings.sidecar != d->settings.sidecar || settings.peers != d->settings.peers;
    d->log(LogLevel::Info, "reloaded", {{"seeds", settings.seeds.size()}, {"needs_restart", moved}});
}

std::size_t PlatformNode::Private::inFlight() const
{
    return callServers.unansweredRequests();
}

void PlatformNode::stop()
{
    if (!d->stopping) {
        asio::co_spawn(d->context, d->stopGracefully(), asio::detached);
    }
}

// Waits until the peers have received everything and closed. The end of the process resets a connection
// with unread bytes, and the VM's network may end with the process.
asio::awaitable<void> PlatformNode::Private::endConnections(TimePoint end)
{
    sidecarServer.drain();
    do {
        // Requests may still arrive on connections that were not idle when the server was drained.
        if (Clock::now() >= end - FinalAnswerTime) {
            endCalls();
        }
        co_await sleepFor(context, StopCheckInterval);
    } while (callServers.closeIdle() > 0 && Clock::now() < end);
}

void PlatformNode::Private::endCalls()
{
    const auto ended = callServers.endCalls();
    if (ended > 0) {
        log(LogLevel::Warning, "calls-ended", {{"count", ended}, {"in_flight", inFlight()}});
    }
}

asio::awaitable<void> PlatformNode::Private::stopGracefully()
{
    const auto begin = Clock::now();
    // On a busy VM the signal may have waited since the node last had the processor; the periodic work that was
    // due then may have come first.
    const auto signalled = previousTick;
    const auto end = signalled + settings.stopTimeout - StopMargin;
    stopping = true;
    connectionLog.logAll();
    log(LogLevel::Info, "stopping", {{"in_flight", inFlight()}, {"late_at_most_ms", std::chrono::duration_cast<Milliseconds>(begin - signalled).count()}});
    ingress.prepareToStop(end - FinalAnswerTime);
    ingressServer.closeAfterResponses();
    asio::co_spawn(context, directory.deregister(), asio::detached);
    co_await sleepFor(context, LeaveDelay);
    fleet.leave();
    co_await sleepFor(context, SidecarDrainDelay - LeaveDelay);
    sidecar.drain();
    sidecarServer.closeAfterResponses();
    co_await sleepFor(context, IngressDrainDelay - SidecarDrainDelay);
    // Callers that have not noticed the stop would keep the node busy, and their last
    // calls would be interrupted at the end of the stop timeout.
    ingressServer.drain();
    ingressServer.closeIdle();
    while (inFlight() > 0 && Clock::now() < end - FinalAnswerTime) {
        co_await sleepFor(context, StopCheckInterval);
    }
    co_await endConnections(end);
    callServers.logOpenConnections();
    log(inFlight() > 0 ? LogLevel::Error : LogLevel::Info, "stopped", {{"in_flight", inFlight()}});
    context.stop();
}

}
