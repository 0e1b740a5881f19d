#include "daemon/headwatcher.h"

#include <mutex>

namespace Galenahill {

namespace {

constexpr Milliseconds WatchTimeLimit{20000};
constexpr Milliseconds IdleInterval{500};

// Time over which the nodes of a fleet that starts at once spread their first reads.
constexpr Milliseconds StartSpread{2000};

// Time over which the watchers spread the repair of a store that is behind; short, since
// only the nodes' memory holds what the store lacks.
constexpr Milliseconds RepairSpread{500};

// Time that a starting node waits for members to deliver the stored revision, so that
// only a few nodes read the blobs from the store.
constexpr Milliseconds PeerDeliveryTime{1000};

}

class HeadWatcher::Private
{
public:
    explicit Private(Options given)
        : options(std::move(given))
    {
    }

    Options options;
    // Held while a head is processed, so that `check` and `run` do not read the same blobs
    // at once.
    std::mutex mutex;
    ObjectVersion headVersion;
    bool initialHeadRead = false;

    bool isBehind(Revision revision) const
    {
        return options.state->revisions.revision() < revision;
    }

    void callFailed(const Error &error);
    void readInitialHead();
    void watch();
    ObjectVersion knownVersion();
    void processHead(const ConfigRepository::Head &head);
    void repairStore(const ConfigRepository::Head &head);
    void fetchRevision(const ConfigRepository::Head &head);
};

HeadWatcher::HeadWatcher(Options options)
    : d(std::make_unique<Private>(std::move(options)))
{
}

HeadWatcher::~HeadWatcher() = default;

void HeadWatcher::Private::callFailed(const Error &error)
{
    options.log(LogLevel::Warning, "store-unavailable", {{"reason", error.message}});
    options.store.backOff();
}

ObjectVersion HeadWatcher::Private::knownVersion()
{
    const std::lock_guard lock(mutex);
    return headVersion;
}

void HeadWatcher::Private::processHead(const ConfigRepository::Head &head)
{
    const std::lock_guard lock(mutex);
    headVersion = head.version;
    const auto current = options.state->revisions.current();
    const bool nothingAccepted = head.version == ObjectVersion() && !current;
    if (nothingAccepted) {
        return;
    }
    if (current && head.manifest.revision < current->revision()) {
        repairStore(head);
        return;
    }
    if (!current || !(current->bundle.manifest == head.manifest)) {
        fetchRevision(head);
    }
}

void HeadWatcher::Private::repairStore(const ConfigRepository::Head &head)
{
    options.log(
        LogLevel::Error, "store-behind", {{"store_revision", head.manifest.revision.value()}, {"in_force", options.state->revisions.revision().value()}});
    // All watchers see the older head at once; one of them is enough to repair the store.
    options.store.pauseUpTo(RepairSpread);
    const auto written = options.repository.writeBack();
    if (written && *written) {
        options.log(LogLevel::Warning, "store-mended", {{"revision", options.state->revisions.revision().value()}});
    }
}

void HeadWatcher::Private::fetchRevision(const ConfigRepository::Head &head)
{
    const auto current = options.state->revisions.current();
    auto bundle = options.repository.readBundle(head.manifest, current.get());
    if (!bundle) {
        // Reset, so that the next watch or check tries again.
        headVersion = ObjectVersion();
        options.log(LogLevel::Warning, "store-unavailable", {{"reason", bundle.error().message}});
        options.store.backOff();
        return;
    }
    auto revision = ConfigRevision::fromBundle(std::move(*bundle));
    if (!revision) {
        options.log(LogLevel::Error, "stored-revision-invalid", {{"revision", head.manifest.revision.value()}, {"reason", revision.error().message}});
        return;
    }
    options.revisionFound(std::move(*revision));
}

void HeadWatcher::Private::readInitialHead()
{
    const auto head = options.repository.readHead();
    if (!head) {
        options.storeFailed();
        callFailed(head.error());
        return;
    }
    initialHeadRead = true;
    options.store.succeeded();
    options.storeAnswered(head->manifest.revision);
    const auto until = Clock::now() + PeerDeliveryTime;
    while (isBehind(head->manifest.revision) && Clock::now() < until && !options.state->stopping) {
        options.store.pause(Milliseconds(100));
    }
    options.store.pauseUpTo(isBehind(head->manifest.revision) ? PeerDeliveryTime : Milliseconds(0));
    if (isBehind(head->manifest.revision)) {
        processHead(*head);
    }
}

void HeadWatcher::Private::watch()
{
    const auto object = options.store.watch("config/head", knownVersion(), WatchTimeLimit);
    if (!object) {
        if (object.error().kind != ErrorKind::NotFound) {
            callFailed(object.error());
        }
        return;
    }
    options.store.succeeded();
    auto manifest = Manifest::fromJson(object->value);
    if (!manifest) {
        callFailed(manifest.error());
        return;
    }
    processHead({std::move(*manifest), object->version});
}

void HeadWatcher::check()
{
    if (!d->options.state->watchesStore) {
        return;
    }
    const auto head = d->options.repository.readHead();
    if (!head) {
        return;
    }
    if (d->isBehind(head->manifest.revision)) {
        d->options.log(LogLevel::Warning, "watch-stalled", {{"store_revision", head->manifest.revision.value()}});
    }
    // Also covers a store that lost the head altogether, which no watch reports.
    if (head->manifest.revision != d->options.state->revisions.revision()) {
        d->processHead(*head);
    }
}

void HeadWatcher::run()
{
    d->options.store.pauseUpTo(StartSpread);
    while (!d->options.state->stopping) {
        if (!d->initialHeadRead) {
            d->readInitialHead();
        } else if (d->options.state->watchesStore) {
            d->watch();
        } else {
            d->options.store.pause(IdleInterval);
        }
    }
}

}
