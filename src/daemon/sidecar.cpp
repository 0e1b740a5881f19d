#include "daemon/sidecar.h"

#include "core/calls/admissioncontroller.h"
#include "core/calls/answerverdict.h"
#include "core/calls/callheaders.h"
#include "core/calls/callqueue.h"
#include "core/calls/servicetimes.h"
#include "daemon/callmessages.h"

#include <fmt/format.h>
#include <unordered_map>
#include <unordered_set>

namespace Galenahill {

namespace {

using Microseconds = std::chrono::microseconds;

constexpr Milliseconds StartingProbeInterval{100};
constexpr Milliseconds ReadyProbeInterval{250};
constexpr Milliseconds ProbeTimeout{1000};

// Connections to the target that are kept open, so that calls which come after
// a pause don't wait for new ones.
constexpr std::size_t WarmConnections = 4;

// Unanswered probes in a row before a target counts as not ready, and probes
// that it answered with "not ready"; one alone says little.
constexpr int LostProbesToLeave = 3;
constexpr int RefusedProbesToLeave = 2;

// A call waits for a slot at most for this many usual calls, but never less
// than the shortest wait and never more than the longest.
constexpr int WaitFactor = 2;
constexpr Microseconds ShortestWait{5000};
constexpr Microseconds LongestWait{200000};

// What a call is taken to need before the first answer tells.
constexpr Microseconds UnknownCallTime{25000};

// Calls that wait at the most where urgency orders them. What bounds the
// waiting there is time: with nine slots and calls of 15 ms, the shortest on
// record, a fuller queue would mean a wait of over 100 ms.
constexpr std::size_t MaxWaiting = 64;

// A call is taken to need this many times the usual time of its route, so that
// most of those admitted are in time: work times spread by up to 0.8 of their
// mean, and half of all calls take longer than usual.
constexpr double TimeMargin = 1.3;

// A call that nobody may repeat goes out on a connection that was in use so
// lately. Targets are known to forget idle connections, the earliest after
// 300 ms, and reset what comes next: the call didn't run, and can't be proven
// not to have. A new connection costs a millisecond.
constexpr Milliseconds MaxIdleOnce{200};

// Time that the target is told to have less than the call has, so that its own
// "too late" arrives while the ingress still waits and the connection can be
// used again.
constexpr Milliseconds AnswerMargin{10};

// One call from its arrival to its answer.
struct SidecarCall
{
    std::string id;
    RouteName route;
    TimePoint arrived;
    TimePoint deadline;
    TimePoint entered;
    CallTerms terms;
    // When the call should be answered.
    TimePoint objective = TimePoint::max();
    std::string callerService;
};

// A call that waits for a slot.
struct Waiter
{
    explicit Waiter(asio::io_context &context)
        : timer(context)
    {
    }

    asio::steady_timer timer;
    RouteName route;
    bool admitted = false;
};

}

class Sidecar::Private : public std::enable_shared_from_this<Sidecar::Private>
{
public:
    explicit Private(Options given)
        : options(std::move(given))
        , admission(options.policy)
        , queue({.newestFirst = options.policy.newestFirst, .fairShares = options.policy.fairShares, .byUrgency = options.policy.byUrgency})
    {
    }

    Options options;
    AdmissionController admission;
    CallQueue queue;
    ServiceTimes times;
    // Id and slots that the target announced; no slots if it doesn't announce
    // itself.
    std::string targetId;
    std::uint32_t announcedSlots = 0;
    // Ids of the calls that the target is running.
    std::unordered_set<std::string> running;
    std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>> waiters;
    std::uint64_t nextTicket = 1;
    MemberState state = MemberState::Starting;
    int lostProbes = 0;
    int refusedProbes = 0;

    asio::awaitable<void> probeLoop();
    void probed(const Result<HttpResponse> &answer);
    void setState(MemberState newState);
    std::string idOf(const HttpRequest &request) const;
    std::string refusal(const HttpRequest &request) const;
    HttpResponse refuse(const std::string &reason) const;
    HttpResponse refuseFull(const SidecarCall &call) const;
    void logRefusal(const SidecarCall &call, const std::string &reason) const;
    void reportLoad(HttpResponse &response) const;

    TimePoint waitLimit(const SidecarCall &call) const;
    TimePoint latestStart(const SidecarCall &call) const;
    CallUrgency urgencyOf(const SidecarCall &call) const;
    Microseconds slotInterval() const;
    Microseconds expectedWait(const SidecarCall &call) const;
    void refuseHopeless();
    asio::awaitable<bool> enter(SidecarCall &call, ServerConnection &connection);
    asio::awaitable<bool> waitForSlot(SidecarCall &call, ServerConnection &connection);
    void leave(const SidecarCall &call, AdmissionController::End end);
    void wake(QueueTicket ticket, bool admitted);
    void admitWaiting();
    void refuseWaiting();
    asio::awaitable<void> admitWhenReleased();
    asio::awaitable<HttpResponse> passOn(HttpRequest request, SidecarCall call, ServerConnection &connection);
    HttpRequest targetRequest(HttpRequest request, const SidecarCall &call) const;
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
    asio::co_spawn(d->options.context, d->probeLoop(), asio::detached);
}

asio::awaitable<void> Sidecar::Private::probeLoop()
{
    const auto keep = shared_from_this();
    asio::steady_timer timer(options.context);
    while (!admission.draining()) {
        HttpRequest request(http::verb::get, options.healthPath, 11);
        request.set(http::field::host, toString(options.target));
        const auto answer = co_await options.client.exchange(options.target, std::move(request), Clock::now() + ProbeTimeout);
        probed(answer);
        if (state == MemberState::Ready) {
            co_await options.client.warm(options.target, WarmConnections, Clock::now() + ProbeTimeout);
        }
        const bool settled = state == MemberState::Ready && lostProbes == 0 && refusedProbes == 0;
        ErrorCode error;
        timer.expires_after(settled ? ReadyProbeInterval : StartingProbeInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

void Sidecar::Private::probed(const Result<HttpResponse> &answer)
{
    if (admission.draining()) {
        return;
    }
    if (answer && answer->result() == http::status::ok) {
        lostProbes = 0;
        refusedProbes = 0;
        setState(MemberState::Ready);
        return;
    }
    const bool saysDraining = answer && answer->body().find("draining") != std::string::npos;
    if (saysDraining) {
        setState(MemberState::Draining);
        return;
    }
    ++(answer ? refusedProbes : lostProbes);
    if (lostProbes >= LostProbesToLeave || refusedProbes >= RefusedProbesToLeave) {
        setState(MemberState::Starting);
    }
}

void Sidecar::Private::setState(MemberState newState)
{
    if (state == newState) {
        return;
    }
    state = newState;
    if (newState == MemberState::Ready) {
        admission.restart();
        times.clear();
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
    d->admission.setSlots(service == nullptr ? 0 : service->slots);
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
    d->admission.setSlots(target.slots);
    d->setState(state);
    if (state == MemberState::Ready) {
        d->admitWaiting();
    } else {
        d->refuseWaiting();
    }
}

std::string Sidecar::Private::refusal(const HttpRequest &request) const
{
    if (request[CallHeaders::Service] != options.service.value()) {
        return "this target is of another service";
    }
    if (admission.draining() || state == MemberState::Draining) {
        return "the target is leaving";
    }
    if (state != MemberState::Ready) {
        return "the target is starting";
    }
    const auto left = timeoutHeader(request);
    if (!left || Milliseconds(*left) <= admission.fastest()) {
        return "less time is left than any call takes";
    }
    return {};
}

void Sidecar::Private::reportLoad(HttpResponse &response) const
{
    const bool takesCalls = state == MemberState::Ready && !admission.draining();
    response.set(CallHeaders::Load, formatLoad({admission.inFlight() + static_cast<std::uint32_t>(queue.size()), takesCalls ? admission.limit() : 0}));
    if (options.policy.byUrgency && takesCalls && admission.inFlight() >= admission.limit()) {
        response.set(CallHeaders::WaitMs, std::to_string(std::chrono::duration_cast<Milliseconds>(slotInterval() * (queue.size() + 1)).count()));
    }
}

HttpResponse Sidecar::Private::refuse(const std::string &reason) const
{
    auto response = notRunResponse(http::status::service_unavailable, "refused", reason);
    reportLoad(response);
    return response;
}

void Sidecar::Private::logRefusal(const SidecarCall &call, const std::string &reason) const
{
    const auto now = Clock::now();
    options.log(LogLevel::Info,
        "sidecar-refused",
        {{"id", call.id},
            {"route", call.route.value()},
            {"reason", reason},
            {"state", toString(state)},
            {"running", admission.inFlight()},
            {"slots", admission.limit()},
            {"waiting", queue.size()},
            {"may_wait", call.terms.mayWait},
            {"for_running_call", call.terms.forRunningCall},
            {"waited_ms", std::chrono::duration_cast<Milliseconds>(now - call.arrived).count()},
            {"expected_wait_ms", std::chrono::duration_cast<Milliseconds>(expectedWait(call)).count()},
            {"left_ms", std::chrono::duration_cast<Milliseconds>(call.deadline - now).count()}});
}

HttpResponse Sidecar::Private::refuseFull(const SidecarCall &call) const
{
    // An offer without waiting is a question; its answer needs no line.
    if (call.terms.mayWait) {
        logRefusal(call, "no slot in time");
    }
    auto response = refuse("all slots of the target are taken");
    response.set(CallHeaders::WaitMs, std::to_string(std::chrono::duration_cast<Milliseconds>(expectedWait(call)).count()));
    return response;
}

// Until when a call that arrived now may wait: a call that gets its slot later
// would rather have been refused at once and gone elsewhere.
TimePoint Sidecar::Private::waitLimit(const SidecarCall &call) const
{
    if (options.policy.byUrgency) {
        return latestStart(call);
    }
    const auto usual = admission.typical().count() == 0 ? UnknownCallTime : admission.typical();
    const auto longest = std::clamp(WaitFactor * usual, ShortestWait, LongestWait);
    return std::min(call.entered + longest, call.deadline - admission.fastest());
}

// The latest time to get a slot and be answered within the objective, or by
// the deadline for a call without one. A call that waits longer takes its slot
// from one that could still be in time.
TimePoint Sidecar::Private::latestStart(const SidecarCall &call) const
{
    const auto known = times.usual(call.route);
    const auto needed = known.count() == 0 ? UnknownCallTime : known;
    // A running call needs the answer, late or not, or all its work is lost.
    const auto wanted = call.terms.forRunningCall ? call.deadline : std::min(call.objective, call.deadline);
    return wanted - std::chrono::duration_cast<Microseconds>(needed * TimeMargin);
}

CallUrgency Sidecar::Private::urgencyOf(const SidecarCall &call) const
{
    return {!call.terms.forRunningCall, call.terms.priority, latestStart(call)};
}

// With all slots taken, one comes free after a usual call's time divided by
// the slots, on average.
Microseconds Sidecar::Private::slotInterval() const
{
    const auto known = times.usual();
    const auto usual = known.count() == 0 ? UnknownCallTime : known;
    return usual / std::max<std::uint32_t>(admission.limit(), 1);
}

// Each call ahead takes one of the slots that come free.
Microseconds Sidecar::Private::expectedWait(const SidecarCall &call) const
{
    if (!options.policy.byUrgency) {
        return admission.typical() * (queue.size() + 1) / std::max<std::uint32_t>(admission.limit(), 1);
    }
    return slotInterval() * (queue.ahead(urgencyOf(call)) + 1);
}

void Sidecar::Private::refuseHopeless()
{
    while (const auto ticket = queue.takeHopeless(Clock::now(), slotInterval())) {
        wake(*ticket, false);
    }
}

asio::awaitable<bool> Sidecar::Private::enter(SidecarCall &call, ServerConnection &connection)
{
    call.entered = Clock::now();
    if (queue.size() == 0 && admission.tryEnter(call.entered)) {
        queue.started(call.route);
        co_return true;
    }
    const bool mayWait = options.policy.queue && call.terms.mayWait;
    if (!mayWait || call.entered + expectedWait(call) >= waitLimit(call)) {
        co_return false;
    }
    co_return co_await waitForSlot(call, connection);
}

asio::awaitable<bool> Sidecar::Private::waitForSlot(SidecarCall &call, ServerConnection &connection)
{
    const auto waiter = std::make_shared<Waiter>(options.context);
    const QueueTicket ticket(nextTicket++);
    waiter->route = call.route;
    waiter->timer.expires_at(waitLimit(call));
    const auto refused = queue.push(ticket, call.route, options.policy.byUrgency ? MaxWaiting : admission.queueCapacity(), urgencyOf(call));
    if (refused == ticket) {
        co_return false;
    }
    waiters.emplace(ticket.value(), waiter);
    if (refused) {
        wake(*refused, false);
    }
    refuseHopeless();
    // A call that the caller gives up leaves the line at once.
    connection.cancellation().setHook([weak = weak_from_this(), ticket] {
        if (const auto self = weak.lock()) {
            self->wake(ticket, false);
        }
    });
    ErrorCode ignored;
    co_await waiter->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    connection.cancellation().setHook(nullptr);
    queue.remove(ticket);
    waiters.erase(ticket.value());
    call.entered = Clock::now();
    co_return waiter->admitted;
}

void Sidecar::Private::wake(QueueTicket ticket, bool admitted)
{
    const auto found = waiters.find(ticket.value());
    if (found != waiters.end()) {
        found->second->admitted = admitted;
        found->second->timer.cancel();
    }
}

void Sidecar::Private::admitWaiting()
{
    admission.releaseHeld(Clock::now());
    while (queue.size() > 0 && admission.tryEnter(Clock::now())) {
        const auto ticket = *queue.pop(Clock::now());
        queue.started(waiters.at(ticket.value())->route);
        wake(ticket, true);
    }
}

asio::awaitable<void> Sidecar::Private::admitWhenReleased()
{
    const auto keep = shared_from_this();
    asio::steady_timer timer(options.context, admission.nextRelease());
    ErrorCode ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    admitWaiting();
}

void Sidecar::Private::leave(const SidecarCall &call, AdmissionController::End end)
{
    queue.ended(call.route);
    if (end == AdmissionController::End::Answered) {
        times.observed(call.route, std::chrono::duration_cast<Microseconds>(Clock::now() - call.entered));
    }
    admission.leave(call.route, call.entered, end, Clock::now());
    if (end == AdmissionController::End::GivenUp || end == AdmissionController::End::Cancelled) {
        asio::co_spawn(options.context, admitWhenReleased(), asio::detached);
    }
    admitWaiting();
}

HttpRequest Sidecar::Private::targetRequest(HttpRequest request, const SidecarCall &call) const
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

asio::awaitable<HttpResponse> Sidecar::Private::passOn(HttpRequest request, SidecarCall call, ServerConnection &connection)
{
    using End = AdmissionController::End;
    const auto &dialect = options.dialect;
    auto forwarded = targetRequest(std::move(request), call);
    std::unique_ptr<BodySource> rest;
    HttpClient::Companions companions;
    companions.cancellation = &connection.cancellation();
    companions.requestBody = connection.requestBody();
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
    running.insert(call.id);
    const auto begin = Clock::now();
    auto response = co_await options.client.exchange(options.target, forwarded, call.deadline, companions);
    running.erase(call.id);
    if (options.stageEnded) {
        options.stageEnded(CallStage::Line, std::chrono::duration_cast<Microseconds>(begin - call.arrived));
        options.stageEnded(CallStage::Target, std::chrono::duration_cast<Microseconds>(Clock::now() - begin));
    }
    if (response) {
        const auto verdict = judgeAnswer(dialect,
            {.status = response->result_int(),
                .hasProof = response->count(dialect.answerProof) > 0,
                .saysNotExecuted = response->count(dialect.notExecuted) > 0,
                .hasEncoding = response->count(http::field::content_encoding) > 0});
        const auto end = endOf(*response, verdict);
        const bool streams = rest && (verdict == AnswerVerdict::Answered || verdict == AnswerVerdict::Failed);
        auto answer = answerOf(std::move(*response), verdict);
        if (streams) {
            reportLoad(answer);
            co_await connection.sendStreamed(std::move(answer), *rest);
            leave(call, end);
            co_return answer;
        }
        // The load is told without this call: told with it, a target with one
        // slot would never seem to have room.
        leave(call, end);
        reportLoad(answer);
        co_return answer;
    }
    if (response.error().kind == ErrorKind::Unavailable) {
        leave(call, End::NotSent);
        if (options.targetLost && !connection.cancellation().cancelled()) {
            options.targetLost();
        }
        co_return refuse("the target can't be reached");
    }
    const bool late = Clock::now() >= call.deadline;
    const bool cancelled = connection.cancellation().cancelled();
    options.log(LogLevel::Info,
        "target-gave-no-answer",
        {{"id", call.id},
            {"route", call.route.value()},
            {"target", targetId},
            {"late", late},
            {"cancelled", cancelled},
            {"ms", std::chrono::duration_cast<Milliseconds>(Clock::now() - begin).count()},
            {"reason", response.error().message}});
    leave(call, cancelled ? End::Cancelled : late ? End::GivenUp : End::Broken);
    auto unknown = outcomeUnknownResponse(response.error().message, late ? http::status::gateway_timeout : http::status::bad_gateway);
    reportLoad(unknown);
    co_return unknown;
}

asio::awaitable<HttpResponse> Sidecar::handle(HttpRequest request, ServerConnection &connection)
{
    const auto keep = d;
    SidecarCall call;
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
    const bool entered = co_await keep->enter(call, connection);
    if (!entered) {
        co_return keep->refuseFull(call);
    }
    // After a pause of this process, or a wait for a slot, the ingress may
    // have given the call up and told its caller so; running it now would
    // serve nobody. The ingress closes the connection when it gives up. The
    // target may have begun to leave as well.
    const bool leaving = keep->state == MemberState::Draining;
    if (leaving || connection.peerClosed()) {
        keep->leave(call, AdmissionController::End::NotSent);
        const auto *reason = leaving ? "the target is leaving" : "the caller has gone";
        keep->logRefusal(call, reason);
        co_return keep->refuse(reason);
    }
    co_return co_await keep->passOn(std::move(request), std::move(call), connection);
}

std::string Sidecar::Private::idOf(const HttpRequest &request) const
{
    const auto &field = options.dialect.requestId;
    return std::string(field.empty() ? request[CallHeaders::CallId] : request[field]);
}

void Sidecar::drain()
{
    d->admission.startDraining();
    d->refuseWaiting();
}

// Waiting calls haven't run; other targets can still take them.
void Sidecar::Private::refuseWaiting()
{
    while (const auto ticket = queue.pop()) {
        wake(*ticket, false);
    }
}

bool Sidecar::runs(std::string_view id) const
{
    return d->running.count(std::string(id)) > 0;
}

std::uint32_t Sidecar::inFlight() const
{
    return d->admission.inFlight();
}

}
