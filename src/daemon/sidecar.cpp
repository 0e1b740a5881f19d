#include "daemon/sidecar.h"

#include "core/calls/answerverdict.h"
#include "core/calls/calledservices.h"
#include "core/calls/callheaders.h"
#include "core/rollouts/versionguard.h"
#include "daemon/bodyintake.h"
#include "daemon/slotline.h"
#include "daemon/targetprobe.h"

#include <unordered_map>

namespace Galenahill {

namespace {

using Microseconds = std::chrono::microseconds;

// A call that nobody may repeat goes out on a connection that was in use so
// lately. Targets are known to forget idle connections, the earliest after
// 300 ms, and reset what comes next: the call didn't run, and can't be proven
// not to have. A new connection costs a millisecond.
constexpr Milliseconds MaxIdleOnce{200};

// Time that the target is told to have less than the call has, so that its own
// "too late" arrives while the ingress still waits and the connection can be
// used again.
constexpr Milliseconds AnswerMargin{10};

}

class Sidecar::Private : public std::enable_shared_from_this<Sidecar::Private>
{
public:
    explicit Private(Options given)
        : options(std::move(given))
        , line(std::make_shared<SlotLine>(options.context, options.policy))
        , bodies(options.context, options.link, *line)
    {
    }

    Options options;
    std::shared_ptr<SlotLine> line;
    BodyIntake bodies;
    // Id and slots that the target announced; no slots if it doesn't announce
    // itself.
    std::string targetId;
    std::uint32_t announcedSlots = 0;
    VersionGuard guard;
    // The calls that the target is running, by id.
    std::unordered_map<std::string, RunningCall> running;
    // The services that runs of each route call.
    CalledServices called;
    MemberState state = MemberState::Starting;

    asio::awaitable<void> probe();
    void setState(MemberState newState);
    std::string idOf(const HttpRequest &request) const;
    std::string refusal(const HttpRequest &request) const;
    HttpResponse refuse(const std::string &reason) const;
    HttpResponse refuseFull(const SlotCall &call) const;
    void logRefusal(const SlotCall &call, const std::string &reason) const;
    OwnLoad load() const;
    void reportLoad(HttpResponse &response) const;

    asio::awaitable<std::optional<HttpResponse>> takeBody(HttpRequest &request, SlotCall &call, ServerConnection &connection);
    HttpResponse refuseBody(const SlotCall &call, TimePoint arrival) const;
    asio::awaitable<HttpResponse> passOn(HttpRequest request, SlotCall call, ServerConnection &connection);
    HttpRequest targetRequest(HttpRequest request, const SlotCall &call) const;
    AdmissionController::End endOf(const HttpResponse &response, AnswerVerdict verdict) const;
    HttpResponse answerOf(HttpResponse response, AnswerVerdict verdict) const;
};

Sidecar::Sidecar(Options options)
    : d(std::make_shared<Private>(std::move(options)))
{
}

Sidecar::~Sidecar() = default;

void Sidecar::start()
{
    asio::co_spawn(d->options.context, d->probe(), asio::detached);
}

asio::awaitable<void> Sidecar::Private::probe()
{
    const auto keep = shared_from_this();
    TargetProbe prober({.context = options.context,
        .client = options.client,
        .target = options.target,
        .path = options.healthPath,
        .stopped = [this] { return line->draining(); },
        .changed = [this](MemberState newState) { setState(newState); }});
    co_await prober.run();
}

void Sidecar::Private::setState(MemberState newState)
{
    if (state == newState) {
        return;
    }
    state = newState;
    if (newState == MemberState::Ready) {
        line->restart();
    }
    if (announcedSlots == 0) {
        options.log(LogLevel::Info, "target-state", {{"state", toString(newState)}});
    }
    options.stateChanged(newState);
}

void Sidecar::setView(const std::shared_ptr<const RoutingView> &view)
{
    if (d->announcedSlots > 0) {
        return;
    }
    const auto *service = view && view->config ? view->config->snapshot->service(d->options.service) : nullptr;
    d->line->setSlots(service == nullptr ? 0 : service->slots);
    if (service != nullptr) {
        d->options.client.limitConnections(d->options.target, service->connections);
    }
}

void Sidecar::announced(const TargetAnnouncement &target, MemberState state)
{
    if (d->targetId != target.id) {
        // Whatever is idle leads to the target that was there before.
        d->options.client.closeIdle(d->options.target);
        d->setState(MemberState::Starting);
    }
    d->targetId = target.id;
    d->announcedSlots = target.slots;
    d->guard.setVersion(target.version);
    d->line->setSlots(target.slots);
    d->setState(state);
    if (state == MemberState::Ready) {
        d->line->admitWaiting();
    } else {
        d->line->refuseWaiting();
        d->bodies.refuseWaiting();
    }
}

void Sidecar::setVersionRule(const std::optional<VersionRule> &rule)
{
    if (d->guard.setRule(rule) && d->guard.isShut()) {
        d->line->refuseWaiting();
        d->bodies.refuseWaiting();
    }
}

std::string Sidecar::Private::refusal(const HttpRequest &request) const
{
    if (request[CallHeaders::Service] != options.service.value()) {
        return "this target is of another service";
    }
    if (line->draining() || state == MemberState::Draining) {
        return "the target is leaving";
    }
    if (state != MemberState::Ready) {
        return "the target is starting";
    }
    const auto version = request[CallHeaders::Version];
    if (auto reason = guard.refusal({version.data(), version.size()}); !reason.empty()) {
        return reason;
    }
    const auto left = timeoutHeader(request);
    if (!left || Milliseconds(*left) <= line->fastest()) {
        return "less time is left than any call takes";
    }
    return {};
}

OwnLoad Sidecar::Private::load() const
{
    const bool takesCalls = state == MemberState::Ready && !line->draining();
    const auto wait = options.policy.byUrgency && takesCalls ? line->expectedWait() : Microseconds(0);
    return {{line->running() + static_cast<std::uint32_t>(line->waiting()), takesCalls ? line->limit() : 0}, std::chrono::duration_cast<Milliseconds>(wait)};
}

void Sidecar::Private::reportLoad(HttpResponse &response) const
{
    const auto own = load();
    response.set(CallHeaders::Load, formatLoad(own.load));
    if (own.wait.count() > 0) {
        response.set(CallHeaders::WaitMs, std::to_string(own.wait.count()));
    }
}

HttpResponse Sidecar::Private::refuse(const std::string &reason) const
{
    auto response = notRunResponse(http::status::service_unavailable, "refused", reason);
    reportLoad(response);
    return response;
}

void Sidecar::Private::logRefusal(const SlotCall &call, const std::string &reason) const
{
    const auto now = Clock::now();
    options.log(LogLevel::Info,
        "sidecar-refused",
        {{"id", call.id},
            {"route", call.route.value()},
            {"reason", reason},
            {"state", toString(state)},
            {"running", line->running()},
            {"slots", line->limit()},
            {"waiting", line->waiting()},
            {"may_wait", call.terms.mayWait},
            {"for_running_call", call.terms.forRunningCall},
            {"waited_ms", std::chrono::duration_cast<Milliseconds>(now - call.arrived).count()},
            {"expected_wait_ms", std::chrono::duration_cast<Milliseconds>(line->expectedWait(call)).count()},
            {"left_ms", std::chrono::duration_cast<Milliseconds>(call.deadline - now).count()}});
}

HttpResponse Sidecar::Private::refuseFull(const SlotCall &call) const
{
    // An offer without waiting is a question; its answer needs no line.
    if (call.terms.mayWait) {
        logRefusal(call, "no slot in time");
    }
    auto response = refuse("all slots of the target are taken");
    response.set(CallHeaders::WaitMs, std::to_string(std::chrono::duration_cast<Milliseconds>(line->costOf(call)).count()));
    return response;
}

HttpRequest Sidecar::Private::targetRequest(HttpRequest request, const SlotCall &call) const
{
    const auto &dialect = options.dialect;
    const std::string callId(request[CallHeaders::CallId]);
    const bool retriedAbove = request.find(CallHeaders::RetriedAbove) != request.end();
    stripFields(request, dialect);
    if (dialect.requestId.empty()) {
        request.set(CallHeaders::CallId, callId);
    }
    const auto left = std::chrono::duration_cast<Milliseconds>(call.deadline - call.entered);
    request.set(dialect.timeLeft, std::to_string(std::max(left - AnswerMargin, Milliseconds(1)).count()));
    if (!dialect.expectedTarget.empty()) {
        request.set(dialect.expectedTarget, targetId);
    }
    if (!dialect.callerService.empty()) {
        request.set(dialect.callerService, call.callerService);
    }
    if (retriedAbove) {
        request.set(CallHeaders::RetriedAbove, "yes");
    }
    request.keep_alive(true);
    return request;
}

AdmissionController::End Sidecar::Private::endOf(const HttpResponse &response, AnswerVerdict verdict) const
{
    using End = AdmissionController::End;
    switch (verdict) {
    case AnswerVerdict::NotExecuted:
        return End::Shed;
    case AnswerVerdict::Spoiled:
        return End::Broken;
    case AnswerVerdict::Answered:
    case AnswerVerdict::Failed:
        break;
    }
    const bool provesNotRun = !options.dialect.notExecuted.empty();
    return !provesNotRun && response.result() == http::status::service_unavailable ? End::Shed : End::Answered;
}

// What goes back to the ingress for the target's answer.
HttpResponse Sidecar::Private::answerOf(HttpResponse response, AnswerVerdict verdict) const
{
    switch (verdict) {
    case AnswerVerdict::NotExecuted: {
        auto refused = notRunResponse(http::status::service_unavailable, "refused", "the target says that it didn't run the call");
        refused.set(CallHeaders::Outcome, CallHeaders::NotRunByTarget);
        return refused;
    }
    case AnswerVerdict::Spoiled:
        return outcomeUnknownResponse("the target's answer isn't one of its own", http::status::bad_gateway);
    case AnswerVerdict::Answered:
    case AnswerVerdict::Failed:
        break;
    }
    stripFields(response, options.dialect);
    return response;
}

asio::awaitable<HttpResponse> Sidecar::Private::passOn(HttpRequest request, SlotCall call, ServerConnection &connection)
{
    using End = AdmissionController::End;
    const auto &dialect = options.dialect;
    auto forwarded = targetRequest(std::move(request), call);
    std::unique_ptr<BodySource> rest;
    HttpClient::Companions companions;
    companions.cancellation = &connection.cancellation();
    companions.requestBody = call.heldBytes > 0 ? nullptr : connection.requestBody();
    companions.answerBody = &rest;
    if (forwarded.count(CallHeaders::RetriedAbove) == 0 && !dialect.notExecuted.empty()) {
        companions.maxIdle = MaxIdleOnce;
    }
    if (!dialect.requestId.empty()) {
        companions.belongs = [&](const http::fields &fields) {
            const auto id = fields[dialect.requestId];
            return id.empty() || id == forwarded[dialect.requestId];
        };
    }
    running.insert_or_assign(call.id, RunningCall{call.route, call.terms.priority, call.terms.repeat});
    const auto begin = Clock::now();
    auto response = co_await options.client.exchange(options.target, forwarded, call.deadline, companions);
    running.erase(call.id);
    const auto time = std::chrono::duration_cast<Microseconds>(Clock::now() - begin);
    if (options.stageEnded) {
        options.stageEnded(CallStage::Line, std::chrono::duration_cast<Microseconds>(begin - call.arrived));
        options.stageEnded(CallStage::Target, time);
    }
    if (response) {
        const auto verdict = judgeAnswer(dialect,
            {.status = response->result_int(),
                .hasProof = response->count(dialect.answerProof) > 0,
                .saysNotExecuted = response->count(dialect.notExecuted) > 0,
                .hasEncoding = response->count(http::field::content_encoding) > 0});
        const auto end = endOf(*response, verdict);
        if (options.targetEnded && verdict != AnswerVerdict::NotExecuted) {
            options.targetEnded(call.route, verdict == AnswerVerdict::Failed ? TargetEnd::Failed : TargetEnd::Answered, time);
        }
        const bool streams = rest && (verdict == AnswerVerdict::Answered || verdict == AnswerVerdict::Failed);
        auto answer = answerOf(std::move(*response), verdict);
        if (const auto *services = called.of(call.route)) {
            answer.set(CallHeaders::Calls, formatCalls(*services));
        }
        if (streams) {
            reportLoad(answer);
            co_await connection.sendStreamed(std::move(answer), *rest);
            line->leave(call, end);
            co_return answer;
        }
        // The load is told without this call: told with it, a target with one
        // slot would never seem to have room.
        line->leave(call, end);
        reportLoad(answer);
        co_return answer;
    }
    if (response.error().kind == ErrorKind::Unavailable) {
        line->leave(call, End::NotSent);
        if (options.targetLost && !connection.cancellation().cancelled()) {
            options.targetLost();
        }
        co_return refuse("the target can't be reached");
    }
    const bool late = Clock::now() >= call.deadline;
    const bool cancelled = connection.cancellation().cancelled();
    if (options.targetEnded) {
        options.targetEnded(call.route, late || cancelled ? TargetEnd::GivenUp : TargetEnd::Answered, time);
    }
    options.log(LogLevel::Info,
        "target-gave-no-answer",
        {{"id", call.id},
            {"route", call.route.value()},
            {"target", targetId},
            {"late", late},
            {"cancelled", cancelled},
            {"ms", std::chrono::duration_cast<Milliseconds>(Clock::now() - begin).count()},
            {"reason", response.error().message}});
    line->leave(call, cancelled ? End::Cancelled : late ? End::GivenUp : End::Broken);
    auto unknown = outcomeUnknownResponse(response.error().message, late ? http::status::gateway_timeout : http::status::bad_gateway);
    reportLoad(unknown);
    co_return unknown;
}

HttpResponse Sidecar::Private::refuseBody(const SlotCall &call, TimePoint arrival) const
{
    if (call.terms.mayWait) {
        logRefusal(call, "the body can't be here in time");
    }
    auto response = refuse("the link to the target, or its slots, are taken");
    const auto wait = std::chrono::duration_cast<Milliseconds>(arrival - Clock::now());
    const auto late = std::chrono::duration_cast<Milliseconds>(line->costOf(call));
    response.set(CallHeaders::WaitMs, std::to_string((wait + late).count()));
    return response;
}

// Gives the refusal if the body couldn't be taken, or nothing once it is here.
asio::awaitable<std::optional<HttpResponse>> Sidecar::Private::takeBody(HttpRequest &request, SlotCall &call, ServerConnection &connection)
{
    const auto outcome = co_await bodies.take(request, call, connection);
    if (outcome.end == BodyIntake::End::Refused) {
        co_return refuseBody(call, outcome.arrival);
    }
    if (options.stageEnded) {
        options.stageEnded(CallStage::Body, std::chrono::duration_cast<Microseconds>(Clock::now() - call.arrived));
    }
    // The target may have begun to leave while the body came.
    const auto reason = outcome.end == BodyIntake::End::CutOff ? "the body was cut off: " + outcome.error.message() : refusal(request);
    if (!reason.empty()) {
        logRefusal(call, reason);
        co_return refuse(reason);
    }
    call.arrived = Clock::now();
    co_return std::nullopt;
}

asio::awaitable<HttpResponse> Sidecar::handle(HttpRequest request, ServerConnection &connection)
{
    const auto keep = d;
    SlotCall call;
    call.arrived = Clock::now();
    call.id = keep->idOf(request);
    call.route = RouteName(std::string(request[CallHeaders::Route]));
    call.deadline = call.arrived + Milliseconds(timeoutHeader(request).value_or(0));
    call.terms = termsHeader(request);
    call.callerService = std::string(request[CallHeaders::CallerService]);
    if (call.terms.objectiveLeft) {
        call.objective = call.arrived + *call.terms.objectiveLeft;
    }
    if (const auto reason = keep->refusal(request); !reason.empty()) {
        keep->logRefusal(call, reason);
        co_return keep->refuse(reason);
    }
    // Given back whatever becomes of the call.
    const auto release = [&keep](SlotCall *held) { keep->bodies.release(held->heldBytes); };
    const std::unique_ptr<SlotCall, decltype(release)> holding(&call, release);
    if (BodyIntake::takes(connection.requestBody())) {
        auto refused = co_await keep->takeBody(request, call, connection);
        if (refused) {
            co_return std::move(*refused);
        }
    }
    const bool entered = co_await keep->line->enter(call, connection);
    if (!entered) {
        co_return keep->refuseFull(call);
    }
    // After a pause of this process, or a wait for a slot, the ingress may
    // have given the call up and told its caller so; running it now would
    // serve nobody. The ingress closes the connection when it gives up. The
    // target may have begun to leave as well.
    const bool leaving = keep->state == MemberState::Draining || keep->guard.isShut();
    if (leaving || connection.peerClosed()) {
        keep->line->leave(call, AdmissionController::End::NotSent);
        const auto *reason = leaving ? "the target is leaving" : "the caller has gone";
        keep->logRefusal(call, reason);
        co_return keep->refuse(reason);
    }
    co_return co_await keep->passOn(std::move(request), call, connection);
}

std::string Sidecar::Private::idOf(const HttpRequest &request) const
{
    const auto &field = options.dialect.requestId;
    return std::string(field.empty() ? request[CallHeaders::CallId] : request[field]);
}

void Sidecar::drain()
{
    d->line->startDraining();
    d->bodies.refuseWaiting();
}

void Sidecar::runCalled(const RouteName &route, const ServiceName &service)
{
    d->called.add(route, service);
}

std::optional<RunningCall> Sidecar::running(std::string_view id) const
{
    const auto found = d->running.find(std::string(id));
    return found == d->running.end() ? std::nullopt : std::optional(found->second);
}

OwnLoad Sidecar::load() const
{
    auto load = d->load();
    if (d->guard.isOnTrial() || d->guard.isShut()) {
        load.load.limit = 0;
    }
    return load;
}

bool Sidecar::idle() const
{
    return d->line->running() == 0 && d->line->waiting() == 0;
}

std::uint32_t Sidecar::inFlight() const
{
    return d->line->running();
}

}
