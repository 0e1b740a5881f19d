#include "daemon/configfollower.h"

#include "adapters/http/sleep.h"
#include "core/config/contenthash.h"

#include <algorithm>
#include <random>

namespace Galenahill {

namespace {

// Longest wait of one watch. The store counts each call, and takes waits up to
// half a minute; a connection that fell silent is found by its keep-alive
// probes long before.
constexpr Milliseconds WatchTime{30000};

// Pause after a change before the next watch: in a storm of several changes a
// second one call then brings several of them. A change reaches the node this
// much later at the most, a quarter of the two seconds that it may take.
constexpr Milliseconds GatherTime{500};

// Age up to which a node that begins to watch goes on from its last read. An
// older one is read anew: the history in between may hold many changes, each in
// full.
constexpr Milliseconds FreshReadAge{2000};

// How often a node that doesn't watch looks whether it should.
constexpr Milliseconds RoleInterval{150};

// Pause after a failed call, doubled by each further one. An outage's end is
// noticed within the longest pause, while a fleet of 1,100 stays far below the
// store's rate of reads.
constexpr Milliseconds ShortestPause{100};
constexpr Milliseconds LongestPause{800};

}

Result<std::shared_ptr<const ConfigRevision>> revisionOf(std::string content, const ConfigDecoder &decode)
{
    auto decoded = decode(content);
    if (!decoded) {
        return tl::unexpected(decoded.error());
    }
    auto snapshot = ConfigSnapshot::assemble(std::move(decoded->definitions));
    if (!snapshot) {
        return tl::unexpected(snapshot.error());
    }
    auto revision = std::make_shared<ConfigRevision>();
    revision->bundle.manifest.revision = decoded->revision;
    revision->digest = contentHash(content);
    revision->bundle.files.push_back({FileName("document"), std::move(content)});
    revision->snapshot = std::move(*snapshot);
    return std::shared_ptr<const ConfigRevision>(revision);
}

class ConfigFollower::Private : public std::enable_shared_from_this<ConfigFollower::Private>
{
public:
    explicit Private(Options given)
        : options(std::move(given))
        , random(options.seed)
    {
    }

    Options options;
    std::mt19937_64 random;
    // From where to watch on; zero while the kind has to be listed.
    ObjectVersion version;
    // Whether the last round was a watcher's, and when the store last answered.
    bool watched = false;
    TimePoint lastAnswer;
    std::uint32_t failures = 0;
    std::uint64_t refused = 0;

    asio::awaitable<void> run();
    asio::awaitable<Result<DocumentSet>> next();
    bool take(DocumentSet documents);
    void failed(const Error &error);
    Milliseconds pauseAfterFailure();
};

ConfigFollower::ConfigFollower(Options options)
    : d(std::make_shared<Private>(std::move(options)))
{
}

ConfigFollower::~ConfigFollower() = default;

std::uint64_t ConfigFollower::refused() const
{
    return d->refused;
}

void ConfigFollower::start()
{
    asio::co_spawn(d->options.context, d->run(), asio::detached);
}

asio::awaitable<Result<DocumentSet>> ConfigFollower::Private::next()
{
    if (version == ObjectVersion()) {
        co_return co_await options.store.list(options.kind);
    }
    co_return co_await options.store.watch(options.kind, version, WatchTime);
}

asio::awaitable<void> ConfigFollower::Private::run()
{
    const auto keep = shared_from_this();
    while (!options.stopping) {
        if (version != ObjectVersion() && !options.watches()) {
            watched = false;
            co_await sleepFor(options.context, RoleInterval);
            continue;
        }
        if (!watched && Clock::now() - lastAnswer > FreshReadAge) {
            version = ObjectVersion();
        }
        watched = options.watches();
        auto documents = co_await next();
        if (!documents) {
            failed(documents.error());
            co_await sleepFor(options.context, pauseAfterFailure());
            continue;
        }
        if (failures > 0) {
            options.log(LogLevel::Info, "store-regained", {{"failures", failures}});
        }
        failures = 0;
        lastAnswer = Clock::now();
        version = documents->version;
        if (take(std::move(*documents))) {
            co_await sleepFor(options.context, GatherTime);
        }
    }
}

// Whether there was anything to take.
bool ConfigFollower::Private::take(DocumentSet documents)
{
    auto &items = documents.documents;
    const auto last = std::find_if(items.rbegin(), items.rend(), [&](const StoredDocument &item) { return item.name == options.name && !item.removed; });
    if (last == items.rend()) {
        options.storeAnswered(Revision());
        return false;
    }
    const auto bytes = last->content.size();
    auto revision = revisionOf(std::move(last->content), options.decode);
    if (!revision) {
        ++refused;
        options.log(LogLevel::Error, "stored-revision-invalid", {{"reason", revision.error().message}, {"bytes", bytes}});
        return true;
    }
    options.storeAnswered((*revision)->revision());
    options.found(std::move(*revision));
    return true;
}

void ConfigFollower::Private::failed(const Error &error)
{
    if (error.kind == ErrorKind::NotFound) {
        options.log(LogLevel::Warning, "watch-history-lost", {{"version", version.value()}});
    } else if (failures == 0) {
        options.log(LogLevel::Warning, "store-unavailable", {{"call", version == ObjectVersion() ? "list" : "watch"}, {"reason", error.message}});
    }
    ++failures;
    // What a broken watch missed is in the list; a watch from an old version
    // may be refused for good.
    version = ObjectVersion();
    options.storeFailed();
}

Milliseconds ConfigFollower::Private::pauseAfterFailure()
{
    const auto doubled = ShortestPause * (1 << std::min<std::uint32_t>(failures, 4));
    const auto longest = std::min(LongestPause, Milliseconds(doubled));
    return Milliseconds(std::uniform_int_distribution<std::int64_t>(longest.count() / 2, longest.count())(random));
}

}
