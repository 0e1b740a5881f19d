#include "daemon/configwatcher.h"

#include "core/config/contenthash.h"
#include "daemon/documentwatcher.h"

#include <algorithm>

namespace Galenahill {

Result<std::shared_ptr<const ConfigRevision>> makeRevision(std::string content, const ConfigDecoder &decode)
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

class ConfigWatcher::Private
{
public:
    explicit Private(Options given)
        : options(std::move(given))
        , watcher({.context = options.context,
              .store = options.store,
              .kind = options.kind,
              .seed = options.seed,
              .log = options.log,
              .firstList = Freshness::Latest,
              .shouldWatch = options.shouldWatch,
              .received = [this](DocumentSet documents, bool all) { return documentsReceived(std::move(documents), all); },
              .read = options.storeRead,
              .failed = options.storeFailed,
              .stopping = options.stopping})
    {
    }

    Options options;
    DocumentWatcher watcher;
    std::uint64_t rejected = 0;
    std::optional<TimePoint> lastResponse;
    // The highest revision that was read.
    Revision found;

    bool documentsReceived(DocumentSet documents, bool all);
    asio::awaitable<Result<ObjectVersion>> storeVersion();
};

ConfigWatcher::ConfigWatcher(Options options)
    : d(std::make_unique<Private>(std::move(options)))
{
}

ConfigWatcher::~ConfigWatcher() = default;

bool ConfigWatcher::failing() const
{
    return d->watcher.failing();
}

// The first call may fail on a connection that was idle and is dead.
asio::awaitable<Result<ObjectVersion>> ConfigWatcher::Private::storeVersion()
{
    auto version = co_await options.store.version(options.kind, options.name);
    if (!version && version.error().kind == ErrorKind::OutcomeUnknown) {
        version = co_await options.store.version(options.kind, options.name);
    }
    co_return version;
}

asio::awaitable<Result<ObjectVersion>> ConfigWatcher::check(ObjectVersion known)
{
    auto asOf = Clock::now();
    auto version = co_await d->storeVersion();
    if (!version) {
        co_return version;
    }
    d->lastResponse = Clock::now();
    if (*version != known) {
        asOf = Clock::now();
        auto documents = co_await d->options.store.list(d->options.kind, Freshness::Latest);
        if (!documents) {
            co_return tl::unexpected(documents.error());
        }
        version = documents->version;
        logUnreadable(d->options.log, d->options.kind, *documents);
        const auto before = d->found;
        d->documentsReceived(std::move(*documents), true);
        if (d->found > before && d->watcher.resumeFrom(*version)) {
            d->options.log(LogLevel::Warning, "watch-stalled", {{"store_revision", d->found.value()}, {"store_version", version->value()}});
        }
    }
    d->options.storeRead(*version, asOf, true);
    co_return version;
}

std::optional<Milliseconds> ConfigWatcher::storeAge(TimePoint now) const
{
    return d->lastResponse ? std::optional(std::chrono::duration_cast<Milliseconds>(now - *d->lastResponse)) : std::nullopt;
}

std::uint64_t ConfigWatcher::rejectedRevisions() const
{
    return d->rejected;
}

void ConfigWatcher::start()
{
    d->watcher.start();
}

// Returns whether the documents include the configuration.
bool ConfigWatcher::Private::documentsReceived(DocumentSet documents, bool all)
{
    lastResponse = Clock::now();
    auto &items = documents.documents;
    const auto last = std::find_if(items.rbegin(), items.rend(), [&](const StoredDocument &item) { return item.name == options.name && !item.removed; });
    if (last == items.rend()) {
        options.storeAnswered(Revision());
        return false;
    }
    const auto bytes = last->content.size();
    auto revision = makeRevision(std::move(last->content), options.decode);
    if (!revision) {
        ++rejected;
        options.log(
            LogLevel::Error, "stored-revision-invalid", {{"reason", revision.error().message}, {"bytes", bytes}, {"store_version", documents.version.value()}});
        return true;
    }
    options.storeAnswered((*revision)->revision());
    found = std::max(found, (*revision)->revision());
    options.revisionFound(std::move(*revision), all ? RevisionSource::StoreList : RevisionSource::StoreWatch);
    return true;
}

}
