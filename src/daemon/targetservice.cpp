#include "daemon/targetservice.h"

#include "daemon/targetprobe.h"

namespace Galenahill {

namespace {

constexpr Milliseconds CheckTimeout{800};

// Time between two health checks of a target whose announcement has not been confirmed yet.
constexpr Milliseconds CheckInterval{300};

// Age of a rate limit from which a health check asks whether it still applies, and time between two such
// checks: under a limit near zero no call's response tells.
constexpr Milliseconds MaxRateLimitAge{4000};

const char *registrationResultName(TargetRegistration::RegistrationResult result)
{
    switch (result) {
    case TargetRegistration::RegistrationResult::Accepted:
        return "taken";
    case TargetRegistration::RegistrationResult::Stale:
        return "stale";
    case TargetRegistration::RegistrationResult::Foreign:
        return "foreign";
    }
    return "foreign";
}

}

class TargetService::Private : public std::enable_shared_from_this<TargetService::Private>
{
public:
    explicit Private(Options given)
        : options(std::move(given))
        , registration(options.registration)
    {
    }

    Options options;
    TargetRegistration registration;
    MemberState published = MemberState::Starting;
    std::string publishedId;
    std::int64_t publishedStart = 0;
    std::uint32_t publishedSlots = 0;
    TargetVersion publishedVersion;
    bool checking = false;
    TimePoint lastRateLimitCheck;

    TargetRegistration::RegistrationResult processMessage(const TargetMessage &message);
    void publish(const char *cause);
    void checkOldRateLimit();
    void startCheck();
    asio::awaitable<void> check();
    asio::awaitable<void> checkOnce();
};

TargetService::TargetService(Options options)
    : d(std::make_shared<Private>(std::move(options)))
{
}

TargetService::~TargetService() = default;

TargetRegistration::RegistrationResult TargetService::Private::processMessage(const TargetMessage &message)
{
    if (const auto *departure = std::get_if<TargetDeparture>(&message)) {
        return registration.leaveAnnounced(departure->id, departure->startedAt);
    }
    return registration.targetAnnounced(std::get<TargetAnnouncement>(message), Clock::now());
}

asio::awaitable<HttpResponse> TargetService::handle(HttpRequest request)
{
    const auto keep = d;
    const auto message = keep->options.decode(request);
    if (!message) {
        keep->options.log(LogLevel::Warning, "announcement-refused", {{"reason", message.error().message}});
        co_return makeErrorResponse(http::status::bad_request, "invalid", message.error().message);
    }
    const auto result = keep->processMessage(*message);
    if (result == TargetRegistration::RegistrationResult::Foreign) {
        keep->options.log(
            LogLevel::Warning, "announcement-refused", {{"reason", "the announcement names another service or address than those of this VM's target"}});
        co_return makeErrorResponse(http::status::bad_request,
            "foreign",
            "this node accepts announcements only from the target of its own VM, with its configured service and address");
    }
    keep->publish(registrationResultName(result));
    if (keep->registration.needsHealthCheck()) {
        keep->startCheck();
    }
    co_return makeResponse(http::status::ok, "application/json", "{}");
}

void TargetService::tick()
{
    d->publish("silent");
    d->checkOldRateLimit();
}

void TargetService::Private::checkOldRateLimit()
{
    const auto age = options.rateLimitAge && published == MemberState::Ready ? options.rateLimitAge() : std::nullopt;
    const auto now = Clock::now();
    if (age && *age >= MaxRateLimitAge && now - lastRateLimitCheck >= MaxRateLimitAge) {
        lastRateLimitCheck = now;
        startCheck();
    }
}

void TargetService::targetLeaving(const std::string &id, std::int64_t startedAt)
{
    d->registration.leaveAnnounced(id, startedAt);
    d->publish("stated in a response");
}

void TargetService::targetUnreachable()
{
    d->registration.targetUnreachable();
    d->publish("connection lost");
}

MemberState TargetService::state() const
{
    return d->published;
}

const std::optional<TargetAnnouncement> &TargetService::target() const
{
    return d->registration.target();
}

void TargetService::Private::publish(const char *cause)
{
    const auto &target = registration.target();
    const auto state = registration.state(Clock::now());
    const bool same = target && state == published && target->id == publishedId && target->startedAt == publishedStart && target->slots == publishedSlots
        && target->version == publishedVersion;
    if (!target || same) {
        return;
    }
    published = state;
    publishedId = target->id;
    publishedStart = target->startedAt;
    publishedSlots = target->slots;
    publishedVersion = target->version;
    options.log(LogLevel::Info,
        "target-state",
        {{"state", toString(state)},
            {"target", target->id},
            {"started_at", target->startedAt},
            {"sequence", target->sequence},
            {"slots", target->slots},
            {"version", target->version.value()},
            {"cause", cause}});
    options.changed(*target, state);
}

void TargetService::Private::startCheck()
{
    if (!checking) {
        checking = true;
        asio::co_spawn(options.context, check(), asio::detached);
    }
}

asio::awaitable<void> TargetService::Private::check()
{
    const auto keep = shared_from_this();
    co_await checkOnce();
    asio::steady_timer timer(options.context);
    while (registration.needsHealthCheck()) {
        ErrorCode ignored;
        timer.expires_after(CheckInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        co_await checkOnce();
    }
    checking = false;
}

asio::awaitable<void> TargetService::Private::checkOnce()
{
    const auto target = *registration.target();
    HttpRequest request(http::verb::get, options.healthPath(), 11);
    request.set(http::field::host, toString(target.address));
    // A health check has no request ID, so a late copy of its response could be taken for that to any call.
    HttpClient::ExchangeOptions exchangeOptions;
    exchangeOptions.closeAfterwards = true;
    exchangeOptions.maxBodyBytes = MaxHealthCheckBytes;
    const auto sentAt = Clock::now();
    const auto response = co_await options.client.exchange(target.address, request, sentAt + CheckTimeout, exchangeOptions);
    const bool same = response && (options.targetIdField.empty() || (*response)[options.targetIdField] == target.id);
    const bool healthy = same && response->result() == http::status::ok;
    options.log(LogLevel::Info, "target-checked", {{"target", target.id}, {"healthy", healthy}, {"same_target", same}});
    const bool isCurrent = registration.target()->id == target.id && registration.target()->startedAt == target.startedAt;
    if (same && isCurrent && options.responded) {
        options.responded(*response, sentAt);
    }
    registration.healthChecked(target.id, healthy, Clock::now());
    publish("checked");
}

}
