#include "daemon/headwatcher.h"

#include <mutex>

namespace Galenahill {

namespace {

constexpr Milliseconds WatchTime{20000};
constexpr Milliseconds IdleInterval{500};

// Time over which a fleet that starts at once spreads its first reads.
constexpr Milliseconds StartSpread{2000};

// Time over which the watchers spread the mending of an older store; short,
// since what it lacks is in the nodes' memory alone.
constexpr Milliseconds MendSpread{500};

// Time that a starting node waits for members to bring what the store has:
// the texts are read from the store by a few nodes and not by each.
constexpr Milliseconds PeersFirst{1000};

}

class HeadWatcher::Private
{
public:
    explicit Private(Options given)
        : options(std::move(given))
    {
    }

    Options options;
    // Held while the head is being taken, so that `check` and `run` don't
    // read the same texts at once.
    std::mutex mutex;
    ObjectVersion headVersion;
    bool answered = false;

    bool behind(Revision revision) const
    {
        return options.state->revisions.revision() < revision;
    }

    void failed(const Error &error);
    void readFirst();
    void watch();
    ObjectVersion knownVersion();
    void take(const ConfigRepository::Head &head);
    void mendStore(const ConfigRepository::Head &head);
    void fetch(const ConfigRepository::Head &head);
};

HeadWatcher::HeadWatcher(Options options)
    : d(std::make_unique<Private>(std::move(options)))
{
}

HeadWatcher::~HeadWatcher() = default;

void HeadWatcher::Private::failed(const Error &error)
{
    options.log(LogLevel::Warning, "store-unavailable", {{"reason", error.message}});
    options.store.backOff();
}

ObjectVersion HeadWatcher::Private::knownVersion()
{
    const std::lock_guard lock(mutex);
    return headVersion;
}

void HeadWatcher::Private::take(const ConfigRepository::Head &head)
{
    const std::lock_guard lock(mutex);
    headVersion = head.version;
    const auto current = options.state->revisions.current();
    const bool nothingAccepted = head.version == ObjectVersion() && !current;
    if (nothingAccepted) {
        return;
    }
    if (current && head.manifest.revision < current->revision()) {
        mendStore(head);
        return;
    }
    if (!current || !(current->bundle.manifest == head.manifest)) {
        fetch(head);
    }
}

void HeadWatcher::Private::mendStore(const ConfigRepository::Head &head)
{
    options.log(
        LogLevel::Error, "store-behind", {{"store_revision", head.manifest.revision.value()}, {"in_force", options.state->revisions.revision().value()}});
    // All watchers see the older head at once; one of them is enough.
    options.store.pauseUpTo(MendSpread);
    const auto written = options.repository.writeBack();
    if (written && *written) {
        options.log(LogLevel::Warning, "store-mended", {{"revision", options.state->revisions.revision().value()}});
    }
}

void HeadWatcher::Private::fetch(const ConfigRepository::Head &head)
{
    const auto current = options.state->revisions.current();
    auto bundle = options.repository.readBundle(head.manifest, current.get());
    if (!bundle) {
        // Forgotten, so that the next look tries again.
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

void HeadWatcher::Private::readFirst()
{
    const auto head = options.repository.readHead();
    if (!head) {
        options.storeFailed();
        failed(head.error());
        return;
    }
    answered = true;
    options.store.succeeded();
    options.storeAnswered(head->manifest.revision);
    const auto until = Clock::now() + PeersFirst;
    while (behind(head->manifest.revision) && Clock::now() < until && !options.state->stopping) {
        options.store.pause(Milliseconds(100));
    }
    options.store.pauseUpTo(behind(head->manifest.revision) ? PeersFirst : Milliseconds(0));
    if (behind(head->manifest.revision)) {
        take(*head);
    }
}

void HeadWatcher::Private::watch()
{
    const auto object = options.store.watch("config/head", knownVersion(), WatchTime);
    if (!object) {
        if (object.error().kind != ErrorKind::NotFound) {
            failed(object.error());
        }
        return;
    }
    options.store.succeeded();
    auto manifest = Manifest::fromJson(object->value);
    if (!manifest) {
        failed(manifest.error());
        return;
    }
    take({std::move(*manifest), object->version});
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
    if (d->behind(head->manifest.revision)) {
        d->options.log(LogLevel::Warning, "watch-stalled", {{"store_revision", head->manifest.revision.value()}});
    }
    // Also for a store that lost the head altogether, which no watch tells.
    if (head->manifest.revision != d->options.state->revisions.revision()) {
        d->take(*head);
    }
}

void HeadWatcher::run()
{
    d->options.store.pauseUpTo(StartSpread);
    while (!d->options.state->stopping) {
        if (!d->answered) {
            d->readFirst();
        } else if (d->options.state->watchesStore) {
            d->watch();
        } else {
            d->options.store.pause(IdleInterval);
        }
    }
}

}
