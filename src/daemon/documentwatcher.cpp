#include "daemon/documentwatcher.h"

#include "adapters/http/sleep.h"

#include <algorithm>
#include <random>

namespace Galenahill {

namespace {

// Maximum wait of one watch. The store counts each call and allows waits of up to half
// a minute; keep-alive probes detect a dead connection long before.
constexpr Milliseconds WatchTimeLimit{30000};

// Pause between a change and the next watch: a quarter of the two seconds within which
// a change must reach every node.
constexpr Milliseconds BatchDelay{500};

// Age of the last read up to which a node that becomes a watcher resumes from it. After
// that it lists again, since the history in between may hold many changes, each in full.
constexpr Milliseconds MaxResumeAge{2000};

// How often a node that is not a watcher checks whether it has become one.
constexpr Milliseconds RoleCheckInterval{150};

// Back-off after a failed call, doubled by each further failure. The end of an outage is
// noticed within the maximum back-off, and a fleet of 1,100 nodes stays far below the
// store's read rate limit.
constexpr Milliseconds MinBackOff{100};
constexpr Milliseconds MaxBackOff{800};

}

void logUnreadable(const Logger &log, const std::string &kind, const DocumentSet &documents)
{
    for (const auto &name : documents.unreadable) {
        log(LogLevel::Warning, "document-unreadable", {{"kind", kind}, {"name", name}, {"version", documents.version.value()}});
    }
}

class DocumentWatcher::Private : public std::enable_shared_from_this<DocumentWatcher::Private>
{
public:
    explicit Private(Options given)
        : options(std::move(given))
        , random(options.seed)
        , firstList(options.firstList)
    {
    }

    Options options;
    std::mt19937_64 random;
    std::optional<Freshness> firstList;
    // Version from which the watch resumes; zero while the kind has to be listed.
    ObjectVersion version;
    // Whether this node was a watcher in the last round, and when the store last responded.
    bool wasWatcher = false;
    TimePoint lastSuccess;
    std::uint32_t failures = 0;
    // Set while a watch waits.
    Cancellation *waitingWatch = nullptr;

    asio::awaitable<void> run();
    asio::awaitable<void> checkRegularly();
    asio::awaitable<void> check();
    bool resumeFrom(ObjectVersion newVersion);
    asio::awaitable<Result<DocumentSet>> next();
    bool process(DocumentSet documents, bool all);
    void callFailed(const Error &error);
    void callSucceeded();
    Milliseconds backOffTime();
};

DocumentWatcher::DocumentWatcher(Options options)
    : d(std::make_shared<Private>(std::move(options)))
{
}

DocumentWatcher::~DocumentWatcher() = default;

void DocumentWatcher::start()
{
    asio::co_spawn(d->options.context, d->run(), asio::detached);
    if (d->options.checkInterval) {
        asio::co_spawn(d->options.context, d->checkRegularly(), asio::detached);
    }
}

asio::awaitable<void> DocumentWatcher::Private::checkRegularly()
{
    const auto keep = shared_from_this();
    while (!options.stopping) {
        co_await sleepFor(options.context, options.checkInterval());
        if (waitingWatch != nullptr && !options.stopping) {
            co_await check();
        }
    }
}

asio::awaitable<void> DocumentWatcher::Private::check()
{
    const auto known = version;
    auto documents = co_await options.store.list(options.kind, Freshness::Latest);
    if (!documents || waitingWatch == nullptr || version != known) {
        co_return;
    }
    const auto &items = documents->documents;
    const bool missed = std::any_of(items.begin(), items.end(), [&](const StoredDocument &item) { return item.version > known; });
    const auto newVersion = documents->version;
    logUnreadable(options.log, options.kind, *documents);
    process(std::move(*documents), true);
    if (missed && resumeFrom(newVersion)) {
        options.log(LogLevel::Warning, "watch-stalled", {{"kind", options.kind}, {"version", known.value()}, {"store_version", newVersion.value()}});
    }
}

asio::awaitable<Result<DocumentSet>> DocumentWatcher::Private::next()
{
    if (version == ObjectVersion()) {
        const auto freshness = wasWatcher ? Freshness::Latest : firstList.value_or(Freshness::Latest);
        co_return co_await options.store.list(options.kind, freshness);
    }
    Cancellation cancellation;
    waitingWatch = &cancellation;
    auto changes = co_await options.store.watch(options.kind, version, WatchTimeLimit, &cancellation);
    waitingWatch = nullptr;
    co_return changes;
}

bool DocumentWatcher::resumeFrom(ObjectVersion version)
{
    return d->resumeFrom(version);
}

bool DocumentWatcher::Private::resumeFrom(ObjectVersion newVersion)
{
    if (waitingWatch == nullptr || version >= newVersion) {
        return false;
    }
    version = newVersion;
    waitingWatch->cancel();
    return true;
}

bool DocumentWatcher::failing() const
{
    return d->failures > 0;
}

asio::awaitable<void> DocumentWatcher::Private::run()
{
    const auto keep = shared_from_this();
    while (!options.stopping) {
        if (!firstList && !options.shouldWatch()) {
            wasWatcher = false;
            failures = 0;
            co_await sleepFor(options.context, RoleCheckInterval);
            continue;
        }
        if (!wasWatcher && Clock::now() - lastSuccess > MaxResumeAge) {
            version = ObjectVersion();
        }
        wasWatcher = options.shouldWatch();
        const bool all = version == ObjectVersion();
        const auto from = version;
        const auto begin = Clock::now();
        auto documents = co_await next();
        if (version != from) {
            continue;
        }
        if (!documents) {
            callFailed(documents.error());
            co_await sleepFor(options.context, backOffTime());
            continue;
        }
        callSucceeded();
        logUnreadable(options.log, options.kind, *documents);
        // A watch must not resume from a list that may be stale.
        const bool stale = all && !wasWatcher && firstList == Freshness::MayBeStale;
        version = stale ? ObjectVersion() : documents->version;
        firstList.reset();
        const auto readVersion = documents->version;
        // A watch without changes may have ended for any reason.
        const bool proves = all ? !stale : !documents->documents.empty();
        const bool pause = process(std::move(*documents), all);
        if (proves && options.read) {
            options.read(readVersion, all ? begin : Clock::now(), all);
        }
        if (pause) {
            co_await sleepFor(options.context, BatchDelay);
        }
    }
}

// An exception must not end the watch, since the node would miss all later changes.
bool DocumentWatcher::Private::process(DocumentSet documents, bool all)
{
    const auto read = documents.version;
    try {
        return options.received(std::move(documents), all);
    } catch (const std::exception &error) {
        options.log(LogLevel::Error, "documents-not-processed", {{"kind", options.kind}, {"version", read.value()}, {"reason", error.what()}});
        return true;
    }
}

void DocumentWatcher::Private::callSucceeded()
{
    if (failures > 0) {
        options.log(LogLevel::Info, "store-regained", {{"kind", options.kind}, {"failures", failures}});
    }
    failures = 0;
    lastSuccess = Clock::now();
}

void DocumentWatcher::Private::callFailed(const Error &error)
{
    if (error.kind == ErrorKind::NotFound) {
        options.log(LogLevel::Warning, "watch-history-lost", {{"kind", options.kind}, {"version", version.value()}});
    } else if (failures == 0) {
        options.log(LogLevel::Warning,
            "store-unavailable",
            {{"kind", options.kind}, {"call", version == ObjectVersion() ? "list" : "watch"}, {"reason", error.message}});
    }
    ++failures;
    // The next list has what a broken watch missed, whereas the store may keep
    // rejecting a watch from an old version.
    version = ObjectVersion();
    if (options.failed) {
        options.failed();
    }
}

Milliseconds DocumentWatcher::Private::backOffTime()
{
    const auto doubled = MinBackOff * (1 << std::min<std::uint32_t>(failures, 4));
    const auto upperBound = std::min(MaxBackOff, Milliseconds(doubled));
    return Milliseconds(std::uniform_int_distribution<std::int64_t>(upperBound.count() / 2, upperBound.count())(random));
}

}
