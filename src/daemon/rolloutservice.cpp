#include "daemon/rolloutservice.h"

#include "daemon/documentwatcher.h"

#include <fmt/format.h>

namespace Galenahill {

namespace {

// Number of failed store calls after which a starting node no longer waits for the store.
constexpr int MaxStoreFailures = 3;

// Interval at which the first evaluator lists the specs beside its watch. The evaluator of rank n takes n + 1 times as long, so that
// the lists of all evaluators grow with the logarithm of their number.
constexpr Milliseconds SpecCheckInterval{2000};

// Time between two log lines on the progress of a rollout.
constexpr Milliseconds ProgressInterval{1000};

}

class RolloutService::Private : public std::enable_shared_from_this<RolloutService::Private>
{
public:
    explicit Private(Options given)
        : options(std::move(given))
        , synced(options.firstStart || options.kind.empty())
        , control({.self = options.self,
              .seed = options.seed,
              .exposureShare = options.exposureShare,
              .send = options.send,
              .targetIdle = options.targetIdle,
              .changed = [this](const RolloutRecord &record, const std::string &why) { changed(record, why); }})
        , watcher({.context = options.context,
              .store = options.store,
              .kind = options.kind,
              .seed = options.seed + 1,
              .log = options.log,
              .firstList = options.firstStart ? std::nullopt : std::optional(Freshness::MayBeStale),
              .shouldWatch = [this] { return control.isEvaluator(); },
              .received = [this](const DocumentSet &documents, bool all) { return received(documents, all); },
              .checkInterval = [this] { return SpecCheckInterval * (control.evaluatorRank() + 1); },
              .failed = [this] { synced = synced || ++failures >= MaxStoreFailures; },
              .stopping = options.stopping})
    {
    }

    Options options;
    bool synced;
    int failures = 0;
    TimePoint lastProgress;
    RolloutController control;
    DocumentWatcher watcher;

    void changed(const RolloutRecord &record, const std::string &why);
    bool received(const DocumentSet &documents, bool all);
    void processDocument(const StoredDocument &document, bool listed);
    asio::awaitable<void> write(RolloutWrite write);
    asio::awaitable<void> reread(ServiceName service);
    void logProgress();
};

RolloutService::RolloutService(Options options)
    : d(std::make_shared<Private>(std::move(options)))
{
}

RolloutService::~RolloutService() = default;

void RolloutService::start()
{
    if (!d->options.kind.empty()) {
        d->watcher.start();
    }
}

void RolloutService::Private::changed(const RolloutRecord &record, const std::string &why)
{
    options.log(LogLevel::Info,
        "rollout-stage",
        {{"service", record.spec.service.value()},
            {"version", record.spec.version.value()},
            {"stage", toString(record.stage)},
            {"age_ms", record.ageMs},
            {"duration_ms", record.spec.duration.count()},
            {"store_version", record.storeVersion.value()},
            {"why", why},
            {"reason", record.reason}});
    options.rulesChanged();
}

bool RolloutService::Private::received(const DocumentSet &documents, bool all)
{
    synced = true;
    std::vector<ServiceName> services;
    for (const auto &document : documents.documents) {
        services.emplace_back(document.name);
        if (document.removed) {
            control.specRemoved(services.back(), Clock::now());
        } else {
            processDocument(document, all);
        }
    }
    if (all) {
        control.specsListed(services, documents.version, Clock::now());
    }
    return false;
}

void RolloutService::Private::processDocument(const StoredDocument &document, bool listed)
{
    const auto stored = options.decode(document);
    if (!stored) {
        options.log(LogLevel::Error, "rollout-refused", {{"name", document.name}, {"reason", stored.error().message}});
        return;
    }
    const RolloutRecord record{.spec = stored->spec, .storeVersion = stored->version};
    if (!isValidRecord(record) || document.name != stored->spec.service.value()) {
        options.log(LogLevel::Error,
            "rollout-refused",
            {{"name", document.name},
                {"reason", "a name is too long, the document's name is not that of its service, or duration-s is not in the range from 1 to 86400"}});
        return;
    }
    control.specRead(*stored, listed, Clock::now());
}

void RolloutService::tick()
{
    d->control.tick(Clock::now());
    for (auto &write : d->control.dueWrites(Clock::now())) {
        asio::co_spawn(d->options.context, d->write(std::move(write)), asio::detached);
    }
    d->logProgress();
}

asio::awaitable<void> RolloutService::Private::write(RolloutWrite write)
{
    const auto keep = shared_from_this();
    const auto status = options.encodeStatus(write);
    const auto written = co_await options.store.writeStatus(options.kind, write.spec.service.value(), status, write.expected);
    options.log(written ? LogLevel::Info : LogLevel::Warning,
        "rollout-written",
        {{"service", write.spec.service.value()},
            {"version", write.spec.version.value()},
            {"stage", toString(write.stage)},
            {"store_version", write.expected.value()},
            {"done", written.has_value()},
            {"reason", written ? write.reason : written.error().message}});
    if (written) {
        control.writeCompleted(write, *written, Clock::now());
    } else if (written.error().kind != ErrorKind::Unavailable) {
        // Either another node wrote first, or the response was lost after the write.
        co_await reread(write.spec.service);
    }
}

asio::awaitable<void> RolloutService::Private::reread(ServiceName service)
{
    const auto document = co_await options.store.read(options.kind, service.value());
    if (document) {
        processDocument(*document, false);
    } else if (document.error().kind == ErrorKind::NotFound) {
        control.specRemoved(service, Clock::now());
    }
}

void RolloutService::Private::logProgress()
{
    const auto now = Clock::now();
    if (!control.isEvaluator() || now - lastProgress < ProgressInterval) {
        return;
    }
    lastProgress = now;
    for (const auto &status : control.status(now)) {
        if (isFinal(status.record.stage)) {
            continue;
        }
        options.log(LogLevel::Info,
            "rollout-progress",
            {{"service", status.record.spec.service.value()},
                {"version", status.record.spec.version.value()},
                {"stage", toString(status.record.stage)},
                {"step", status.step.name},
                {"share", status.step.share},
                {"age_ms", status.record.ageMs},
                {"evidence", status.test}});
    }
}

void RolloutService::reportReceived(const Endpoint &from, const RolloutReport &report)
{
    d->control.receive(from, report, Clock::now());
}

void RolloutService::setMembers(const std::vector<MemberRecord> &members)
{
    d->control.setMembers(members, Clock::now());
}

void RolloutService::setLocalVersion(const TargetVersion &version, Milliseconds warmUpLeft)
{
    d->control.setLocalVersion(version, Clock::now() + warmUpLeft);
}

void RolloutService::callEnded(const RouteName &route, TargetResult result, std::chrono::microseconds time)
{
    d->control.callEnded(route, result, std::chrono::duration_cast<Milliseconds>(time), Clock::now());
}

bool RolloutService::isSynced() const
{
    return d->synced;
}

VersionRules RolloutService::rules() const
{
    return d->control.rules(Clock::now());
}

std::optional<VersionRule> RolloutService::localRule() const
{
    return d->control.localRule(Clock::now());
}

std::string RolloutService::metricsText() const
{
    std::string text;
    for (const auto &status : d->control.status(Clock::now())) {
        const auto labels = fmt::format(R"(service="{}",version="{}")", status.record.spec.service.value(), status.record.spec.version.value());
        text += fmt::format("galenahill_rollout_stage{{{}}} {}\n", labels, static_cast<int>(status.record.stage));
        text += fmt::format("galenahill_rollout_share{{{}}} {}\n", labels, status.step.share);
        text += fmt::format("galenahill_rollout_calls{{{}}} {}\n", labels, status.calls);
        text += fmt::format("galenahill_rollout_failures{{{}}} {}\n", labels, status.failures);
    }
    return text;
}

}
