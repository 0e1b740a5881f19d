#include "daemon/sidecar.h"

#include "core/admissioncontroller.h"
#include "core/callheaders.h"
#include "daemon/callmessages.h"

#include <fmt/format.h>

namespace Galenahill {

namespace {

constexpr Milliseconds StartingProbeInterval{100};
constexpr Milliseconds ReadyProbeInterval{1000};
constexpr Milliseconds ProbeTimeout{1000};

// Failed probes in a row before a target counts as not ready; one lost probe
// says little.
constexpr int FailedProbesToLeave = 3;

// A slot that has been taken; freed when the call ends, however it ends.
class Slot
{
public:
    explicit Slot(AdmissionController &admission)
        : m_admission(admission)
    {
    }

    ~Slot()
    {
        m_admission.leave();
    }

    Slot(const Slot &) = delete;
    Slot &operator=(const Slot &) = delete;

private:
    AdmissionController &m_admission;
};

}

class Sidecar::Private : public std::enable_shared_from_this<Sidecar::Private>
{
public:
    explicit Private(Options given)
        : options(std::move(given))
    {
    }

    Options options;
    AdmissionController admission;
    MemberState state = MemberState::Starting;
    int failedProbes = 0;

    asio::awaitable<void> probeLoop();
    void probed(const Result<HttpResponse> &answer);
    void setState(MemberState newState);
    std::string refusal(const HttpRequest &request) const;
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
        ErrorCode error;
        timer.expires_after(state == MemberState::Ready ? ReadyProbeInterval : StartingProbeInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

void Sidecar::Private::probed(const Result<HttpResponse> &answer)
{
    if (admission.draining()) {
        return;
    }
    if (answer && answer->result() == http::status::ok) {
        failedProbes = 0;
        setState(MemberState::Ready);
        return;
    }
    const bool saysDraining = answer && answer->body().find("draining") != std::string::npos;
    if (saysDraining) {
        setState(MemberState::Draining);
        return;
    }
    if (++failedProbes >= FailedProbesToLeave) {
        setState(MemberState::Starting);
    }
}

void Sidecar::Private::setState(MemberState newState)
{
    if (state == newState) {
        return;
    }
    state = newState;
    options.log(LogLevel::Info, "target-state", {{"state", toString(newState)}});
    options.stateChanged(newState);
}

void Sidecar::setView(const std::shared_ptr<const RoutingView> &view)
{
    const auto *service = view && view->config ? view->config->snapshot->service(d->options.service) : nullptr;
    d->admission.setSlots(service == nullptr ? 0 : service->slots);
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
    if (!left || *left <= 0) {
        return "no time is left";
    }
    return {};
}

asio::awaitable<HttpResponse> Sidecar::handle(HttpRequest request, ServerConnection &connection)
{
    const auto keep = d;
    if (const auto reason = keep->refusal(request); !reason.empty()) {
        co_return notRunResponse(http::status::service_unavailable, "refused", reason);
    }
    // After a pause of this process the ingress may have given the call up
    // and told its caller so; running it now would serve nobody.
    if (connection.peerClosed()) {
        co_return notRunResponse(http::status::service_unavailable, "refused", "the caller has gone");
    }
    if (!keep->admission.tryEnter()) {
        co_return notRunResponse(http::status::service_unavailable, "refused", "all slots of the target are taken");
    }
    const Slot slot(keep->admission);
    const auto deadline = Clock::now() + Milliseconds(*timeoutHeader(request));
    const std::string callId(request[CallHeaders::CallId]);
    stripFields(request);
    request.set(CallHeaders::CallId, callId);
    request.keep_alive(true);
    std::unique_ptr<BodySource> rest;
    HttpClient::Companions companions;
    companions.cancellation = &connection.cancellation();
    companions.requestBody = connection.requestBody();
    companions.answerBody = &rest;
    auto response = co_await keep->options.client.exchange(keep->options.target, request, deadline, companions);
    if (response) {
        stripFields(*response);
        if (rest) {
            co_await connection.sendStreamed(std::move(*response), *rest);
        }
        co_return std::move(*response);
    }
    if (response.error().kind == ErrorKind::Unavailable) {
        co_return notRunResponse(http::status::service_unavailable, "refused", "the target can't be reached");
    }
    co_return outcomeUnknownResponse(response.error().message);
}

void Sidecar::drain()
{
    d->admission.startDraining();
}

std::uint32_t Sidecar::inFlight() const
{
    return d->admission.inFlight();
}

}
