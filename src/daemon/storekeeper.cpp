#include "daemon/storekeeper.h"

#include "core/blobcollector.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

namespace Galenahill {

namespace {

constexpr std::size_t MaxContacts = 16;
constexpr Milliseconds WatchTime{20000};
constexpr Milliseconds IdleInterval{500};
constexpr Milliseconds ContactInterval{10000};

// Contents that no kept revision names cost room only, so a round costs the
// store a call or two each few minutes.
constexpr Milliseconds CollectionInterval{600000};

// Contacts that a starting node takes members from.
constexpr std::size_t ContactsJoined = 2;

// A starting node knows only itself and seems to hold every role; by then it
// has heard of the others.
constexpr Milliseconds FirstContactsDelay{1000};

constexpr Milliseconds FirstBackoff{200};
constexpr Milliseconds LongestBackoff{10000};

std::string toJson(const std::vector<Endpoint> &contacts)
{
    auto json = nlohmann::json::array();
    for (const auto &contact : contacts) {
        json.push_back({{"address", contact.address}, {"port", contact.port}});
    }
    return json.dump();
}

// What doesn't decode is left out: contacts are hints only.
std::vector<Endpoint> contactsFromJson(const std::string &text)
{
    std::vector<Endpoint> contacts;
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_array()) {
        return contacts;
    }
    for (const auto &entry : json) {
        if (entry.is_object() && entry.contains("address") && entry.contains("port") && entry["address"].is_string() && entry["port"].is_number_unsigned()) {
            contacts.push_back({entry["address"].get<std::string>(), entry["port"].get<std::uint16_t>()});
        }
    }
    return contacts;
}

}

class StoreKeeper::Private
{
public:
    explicit Private(Options given)
        : options(std::move(given))
        , random(options.seed)
        , collector({.store = options.store, .repository = options.repository})
    {
    }

    struct Contacts
    {
        std::vector<Endpoint> endpoints;
        ObjectVersion version;
    };

    Options options;
    std::mt19937_64 random;
    Milliseconds backoff{0};
    ObjectVersion headVersion;
    TimePoint nextContacts;
    TimePoint nextCollection;
    BlobCollector collector;

    bool stopping() const
    {
        return options.state->stopping;
    }

    std::string contactsKey(const DataCentre &dataCentre) const
    {
        return "contacts/" + dataCentre.value();
    }

    void pause(Milliseconds time);
    void failed(const Error &error);
    Milliseconds jittered(Milliseconds time);
    Result<Contacts> readContacts(const std::string &key);
    bool joinThroughAny(std::vector<Endpoint> contacts, std::size_t wanted);
    bool joinOnce();
    std::vector<Endpoint> liveControls() const;
    void keepContacts();
    void collectBlobs();
    void reconcileOwnContacts();
    void joinOtherDataCentre();
    void readHeadOnce();
    void watchHead();
    void take(const ConfigRepository::Head &head);
};

StoreKeeper::StoreKeeper(Options options)
    : d(std::make_unique<Private>(std::move(options)))
{
}

StoreKeeper::~StoreKeeper() = default;

void StoreKeeper::Private::pause(Milliseconds time)
{
    const auto until = Clock::now() + time;
    while (!stopping() && Clock::now() < until) {
        std::this_thread::sleep_for(std::min<Clock::duration>(Milliseconds(50), until - Clock::now()));
    }
}

void StoreKeeper::Private::failed(const Error &error)
{
    // Doubling with full jitter: after an outage the whole fleet is waiting,
    // and in step it would take the store down again.
    backoff = std::clamp(backoff * 2, FirstBackoff, LongestBackoff);
    options.log(LogLevel::Warning, "store-unavailable", {{"reason", error.message}, {"backoff_ms", backoff.count()}});
    pause(jittered(backoff));
}

Milliseconds StoreKeeper::Private::jittered(Milliseconds time)
{
    return Milliseconds(std::uniform_int_distribution<std::int64_t>(time.count() / 4, time.count())(random));
}

Result<StoreKeeper::Private::Contacts> StoreKeeper::Private::readContacts(const std::string &key)
{
    const auto object = options.store.read(key);
    if (object) {
        return Contacts{contactsFromJson(object->value), object->version};
    }
    if (object.error().kind == ErrorKind::NotFound) {
        return Contacts{};
    }
    return tl::unexpected(object.error());
}

bool StoreKeeper::Private::joinThroughAny(std::vector<Endpoint> contacts, std::size_t wanted)
{
    std::shuffle(contacts.begin(), contacts.end(), random);
    std::size_t joined = 0;
    for (const auto &contact : contacts) {
        const bool other = contact != options.self.control();
        if (other && !stopping() && options.joinThrough(contact) && ++joined == wanted) {
            break;
        }
    }
    return joined > 0;
}

// Adds this node to the contacts while there is room, then joins through the
// others. Registering comes first: of two nodes that start at once the later
// writer sees the earlier one, so they can't miss each other.
bool StoreKeeper::Private::joinOnce()
{
    const auto key = contactsKey(options.self.dataCentre);
    auto contacts = readContacts(key);
    if (!contacts) {
        return joinThroughAny(options.seeds, ContactsJoined);
    }
    auto &endpoints = contacts->endpoints;
    const bool listed = std::find(endpoints.begin(), endpoints.end(), options.self.control()) != endpoints.end();
    if (!listed && endpoints.size() < MaxContacts) {
        endpoints.push_back(options.self.control());
        const auto written = options.store.write(key, toJson(endpoints), contacts->version);
        if (!written) {
            return false;
        }
    }
    endpoints.insert(endpoints.end(), options.seeds.begin(), options.seeds.end());
    joinThroughAny(endpoints, ContactsJoined);
    return true;
}

std::vector<Endpoint> StoreKeeper::Private::liveControls() const
{
    std::vector<Endpoint> live;
    for (const auto &member : options.state->members()) {
        if (member.state <= MemberState::Draining) {
            live.push_back(member.control());
        }
    }
    return live;
}

void StoreKeeper::Private::keepContacts()
{
    if (!options.state->keepsContacts || Clock::now() < nextContacts) {
        return;
    }
    nextContacts = Clock::now() + ContactInterval;
    reconcileOwnContacts();
    joinOtherDataCentre();
}

// Falls to the keepers of contacts, whose role is the same for all nodes that
// know the same members; the collector allows for several at once.
void StoreKeeper::Private::collectBlobs()
{
    if (!options.state->keepsContacts || Clock::now() < nextCollection) {
        return;
    }
    nextCollection = Clock::now() + jittered(CollectionInterval);
    const auto removed = collector.run();
    if (removed && *removed > 0) {
        options.log(LogLevel::Info, "contents-collected", {{"removed", *removed}});
    }
}

void StoreKeeper::Private::reconcileOwnContacts()
{
    const auto key = contactsKey(options.self.dataCentre);
    const auto contacts = readContacts(key);
    if (!contacts) {
        return;
    }
    const auto live = liveControls();
    const auto isLive = [&](const Endpoint &contact) { return std::find(live.begin(), live.end(), contact) != live.end(); };
    std::vector<Endpoint> kept;
    for (const auto &contact : contacts->endpoints) {
        // A contact that this node doesn't know is a dead one, or a member of
        // another partition, which must not be dropped but joined.
        if (isLive(contact) || options.joinThrough(contact)) {
            kept.push_back(contact);
        }
    }
    for (const auto &member : options.state->members()) {
        const bool candidate = member.dataCentre == options.self.dataCentre && member.state <= MemberState::Draining;
        if (candidate && kept.size() < MaxContacts && std::find(kept.begin(), kept.end(), member.control()) == kept.end()) {
            kept.push_back(member.control());
        }
    }
    if (kept != contacts->endpoints) {
        // A lost race means that another holder of the role wrote; the next
        // round looks again.
        (void)options.store.write(key, toJson(kept), contacts->version);
    }
}

// Data centres register apart, so this is how they meet, at first and after
// they were cut off from each other.
void StoreKeeper::Private::joinOtherDataCentre()
{
    auto keys = options.store.list("contacts/");
    if (!keys) {
        return;
    }
    std::erase(*keys, contactsKey(options.self.dataCentre));
    std::shuffle(keys->begin(), keys->end(), random);
    const auto live = liveControls();
    for (const auto &key : *keys) {
        auto contacts = readContacts(key);
        if (!contacts) {
            continue;
        }
        std::erase_if(contacts->endpoints, [&](const Endpoint &contact) { return std::find(live.begin(), live.end(), contact) != live.end(); });
        joinThroughAny(contacts->endpoints, 1);
    }
}

void StoreKeeper::Private::take(const ConfigRepository::Head &head)
{
    headVersion = head.version;
    const auto current = options.state->revisions.current();
    if (head.version == ObjectVersion()) {
        return;
    }
    if (current && head.manifest.revision < current->revision()) {
        options.log(LogLevel::Error, "store-behind", {{"store_revision", head.manifest.revision.value()}, {"in_force", current->revision().value()}});
        return;
    }
    if (current && current->bundle.manifest == head.manifest) {
        return;
    }
    auto bundle = options.repository.readBundle(head.manifest, current.get());
    if (!bundle) {
        headVersion = ObjectVersion();
        failed(bundle.error());
        return;
    }
    auto revision = ConfigRevision::fromBundle(std::move(*bundle));
    if (!revision) {
        options.log(LogLevel::Error, "stored-revision-invalid", {{"revision", head.manifest.revision.value()}, {"reason", revision.error().message}});
        return;
    }
    options.revisionFound(std::move(*revision));
}

void StoreKeeper::Private::readHeadOnce()
{
    const auto head = options.repository.readHead();
    if (head) {
        take(*head);
    }
}

void StoreKeeper::Private::watchHead()
{
    // A watch that outlasted the contacts' turn would hold it up.
    const auto untilContacts = std::chrono::duration_cast<Milliseconds>(nextContacts - Clock::now());
    const auto limit = options.state->keepsContacts ? std::clamp(untilContacts, IdleInterval, WatchTime) : WatchTime;
    const auto object = options.store.watch("config/head", headVersion, limit);
    if (!object) {
        if (object.error().kind != ErrorKind::NotFound) {
            failed(object.error());
        }
        return;
    }
    backoff = Milliseconds(0);
    auto manifest = Manifest::fromJson(object->value);
    if (!manifest) {
        failed(manifest.error());
        return;
    }
    take({std::move(*manifest), object->version});
}

void StoreKeeper::run()
{
    while (!d->stopping() && !d->joinOnce()) {
        d->failed({ErrorKind::Unavailable, "no contact answered, or another node registered at once"});
    }
    d->backoff = Milliseconds(0);
    d->nextContacts = Clock::now() + d->jittered(FirstContactsDelay);
    d->nextCollection = Clock::now() + d->jittered(CollectionInterval);
    d->readHeadOnce();
    while (!d->stopping()) {
        d->keepContacts();
        d->collectBlobs();
        if (d->options.state->watchesStore) {
            d->watchHead();
        } else {
            d->pause(IdleInterval);
        }
    }
}

}
