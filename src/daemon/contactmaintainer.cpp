#include "daemon/contactmaintainer.h"

#include "adapters/codec/jsonfields.h"
#include "common/boundedjson.h"
#include "core/config/blobcollector.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>

namespace Galenahill {

namespace {

constexpr std::size_t MaxContacts = 16;
constexpr Milliseconds IdleInterval{500};
constexpr Milliseconds ContactInterval{10000};

// Unreferenced blobs only take up space, so the collector runs rarely: a call or
// two to the store every few minutes.
constexpr Milliseconds CollectionInterval{600000};

// Contacts from which a starting node fetches the member list.
constexpr std::size_t ContactsJoined = 2;

// A starting node knows only itself and would assume every role; after this time
// it has learned of the other members.
constexpr Milliseconds FirstContactsDelay{1000};

// Time over which the nodes of a fleet that starts at once spread their first store calls.
constexpr Milliseconds StartSpread{1000};

// Time between two reads of the head beside the watch; see HeadWatcher::check.
constexpr Milliseconds HeadCheckInterval{5000};

std::string toJson(const std::vector<Endpoint> &contacts)
{
    auto json = nlohmann::json::array();
    for (const auto &contact : contacts) {
        json.push_back({{"address", contact.address}, {"port", contact.port}});
    }
    return json.dump();
}

// Skips invalid entries, since contacts are only hints.
std::vector<Endpoint> contactsFromJson(const std::string &text)
{
    std::vector<Endpoint> contacts;
    const auto json = parseJsonOrNull(text);
    if (!json.is_array()) {
        return contacts;
    }
    for (const auto &entry : json) {
        try {
            contacts.push_back({entry.at("address").get<std::string>(), portAt(entry, "port")});
        } catch (const std::exception &) {
            continue;
        }
    }
    return contacts;
}

}

class ContactMaintainer::Private
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
    TimePoint nextContactUpdate;
    TimePoint nextHeadCheck;
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

    Result<Contacts> readContacts(const std::string &key);
    bool joinThroughAny(std::vector<Endpoint> contacts, std::size_t wanted);
    bool tryJoin();
    std::vector<Endpoint> liveControlAddresses() const;
    void maintainContacts();
    void collectBlobs();
    Milliseconds collectionDelay();
    void reconcileLocalContacts();
    void joinOtherDataCentres();
    void checkHead();
};

ContactMaintainer::ContactMaintainer(Options options)
    : d(std::make_unique<Private>(std::move(options)))
{
}

ContactMaintainer::~ContactMaintainer() = default;

Result<ContactMaintainer::Private::Contacts> ContactMaintainer::Private::readContacts(const std::string &key)
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

bool ContactMaintainer::Private::joinThroughAny(std::vector<Endpoint> contacts, std::size_t wanted)
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

// Adds this node to the contact list unless the list is full, then joins through the
// other contacts. The node registers first: of two nodes that start at once, the
// later writer sees the earlier one, so they cannot miss each other.
bool ContactMaintainer::Private::tryJoin()
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
    const bool registered = listed || std::find(endpoints.begin(), endpoints.end(), options.self.control()) != endpoints.end();
    auto known = endpoints;
    known.insert(known.end(), options.seeds.begin(), options.seeds.end());
    if (joinThroughAny(known, ContactsJoined) || registered) {
        return true;
    }
    // All contacts are dead, as after every VM was replaced during an outage of the
    // store. While they fill the list, no node finds another one; the conditional
    // write lets one of several nodes replace the list.
    return options.store.write(key, toJson({options.self.control()}), contacts->version).has_value();
}

void ContactMaintainer::Private::checkHead()
{
    if (Clock::now() >= nextHeadCheck) {
        nextHeadCheck = Clock::now() + HeadCheckInterval;
        options.checkHead();
    }
}

std::vector<Endpoint> ContactMaintainer::Private::liveControlAddresses() const
{
    std::vector<Endpoint> live;
    for (const auto &member : options.state->members()) {
        if (member.state <= MemberState::Draining) {
            live.push_back(member.control());
        }
    }
    return live;
}

void ContactMaintainer::Private::maintainContacts()
{
    if (!options.state->maintainsContacts || Clock::now() < nextContactUpdate) {
        return;
    }
    nextContactUpdate = Clock::now() + ContactInterval;
    reconcileLocalContacts();
    joinOtherDataCentres();
}

Milliseconds ContactMaintainer::Private::collectionDelay()
{
    return Milliseconds(std::uniform_int_distribution<std::int64_t>(CollectionInterval.count() / 2, CollectionInterval.count())(random));
}

// Done by the node that maintains the contact list. Nodes that know different members
// may assign that role to different nodes; the collector tolerates several at once.
void ContactMaintainer::Private::collectBlobs()
{
    if (!options.state->maintainsContacts || Clock::now() < nextCollection) {
        return;
    }
    nextCollection = Clock::now() + collectionDelay();
    const auto removed = collector.run();
    if (removed && *removed > 0) {
        options.log(LogLevel::Info, "contents-collected", {{"removed", *removed}});
    }
}

void ContactMaintainer::Private::reconcileLocalContacts()
{
    const auto key = contactsKey(options.self.dataCentre);
    const auto contacts = readContacts(key);
    if (!contacts) {
        return;
    }
    const auto live = liveControlAddresses();
    const auto isLive = [&](const Endpoint &contact) { return std::find(live.begin(), live.end(), contact) != live.end(); };
    std::vector<Endpoint> kept;
    for (const auto &contact : contacts->endpoints) {
        // A contact that this node does not know is either dead or a member of
        // another partition, which must be joined rather than removed.
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
        // A conflict means that another holder of the role wrote the list; the
        // next round reads it again.
        (void)options.store.write(key, toJson(kept), contacts->version);
    }
}

// Each data centre has its own contact list, so this is how nodes of different data
// centres find each other, initially and after a partition between them.
void ContactMaintainer::Private::joinOtherDataCentres()
{
    auto keys = options.store.list("contacts/");
    if (!keys) {
        return;
    }
    std::erase(*keys, contactsKey(options.self.dataCentre));
    std::shuffle(keys->begin(), keys->end(), random);
    const auto live = liveControlAddresses();
    for (const auto &key : *keys) {
        auto contacts = readContacts(key);
        if (!contacts) {
            continue;
        }
        std::erase_if(contacts->endpoints, [&](const Endpoint &contact) { return std::find(live.begin(), live.end(), contact) != live.end(); });
        joinThroughAny(contacts->endpoints, 1);
    }
}

void ContactMaintainer::run()
{
    d->options.store.pauseUpTo(StartSpread);
    while (!d->stopping() && !d->tryJoin()) {
        const auto time = d->options.store.backOff();
        d->options.log(LogLevel::Warning,
            "join-failed",
            {{"reason", "no contact responded, or another node changed the contact list meanwhile; retrying after the back-off"},
                {"backoff_ms", time.count()}});
    }
    d->options.store.succeeded();
    d->nextContactUpdate = Clock::now() + FirstContactsDelay;
    d->nextCollection = Clock::now() + d->collectionDelay();
    while (!d->stopping()) {
        d->maintainContacts();
        d->checkHead();
        d->collectBlobs();
        d->options.store.pause(IdleInterval);
    }
}

}
