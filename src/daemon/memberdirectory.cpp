#include "daemon/memberdirectory.h"

#include "adapters/codec/binarycodec.h"
#include "adapters/codec/jsonfields.h"
#include "adapters/http/sleep.h"
#include "common/boundedjson.h"
#include "daemon/documentwatcher.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

namespace Galenahill {

namespace {

constexpr const char *Kind = "contacts";

// Contacts queried for their members; some may be gone, or just starting like this node.
constexpr std::size_t ContactsQueried = 3;

// How many of them are in other data centres if the local one has enough contacts.
constexpr std::size_t RemoteContactsQueried = 1;

constexpr Milliseconds QueryTimeout{700};

// Time until the next attempt while the store is unavailable, and while it is available
// but no other member is known.
constexpr Milliseconds RetryInterval{500};
constexpr Milliseconds LoneMemberInterval{2500};

// Failed attempts after which the node no longer waits for the store.
constexpr int AttemptsWithoutStore = 3;

}

std::string contactDocument(const MemberRecord &record)
{
    const nlohmann::json json = {{"name", record.name.value()},
        {"data-centre", record.dataCentre.value()},
        {"service", record.service.value()},
        {"address", record.address},
        {"ingress-port", record.ingressPort},
        {"sidecar-port", record.sidecarPort},
        {"control-port", record.controlPort},
        {"link-mbps", record.linkMbps},
        {"incarnation", record.incarnation}};
    return json.dump();
}

Result<MemberRecord> contactFromDocument(const std::string &content)
{
    MemberRecord record;
    try {
        const auto json = parseJson(content);
        record.name = NodeName(json.at("name").get<std::string>());
        record.dataCentre = DataCentre(json.at("data-centre").get<std::string>());
        record.service = ServiceName(json.at("service").get<std::string>());
        record.address = json.at("address").get<std::string>();
        record.ingressPort = portAt(json, "ingress-port");
        record.sidecarPort = portAt(json, "sidecar-port");
        record.controlPort = portAt(json, "control-port");
        record.linkMbps = countOr(json, "link-mbps", 0);
        record.incarnation = wholeNumber(json, "incarnation");
    } catch (const std::exception &error) {
        return failure(ErrorKind::Corrupt, std::string("contact: ") + error.what() + "; it was written by a node of another version or by another program");
    }
    if (!isValidRecord(record)) {
        return failure(ErrorKind::Corrupt, "contact: no name or address; remove the document from the store");
    }
    return record;
}

namespace {

// Whether both records name the same member at the same addresses, whenever it started.
bool isSameContact(const MemberRecord &left, const MemberRecord &right)
{
    auto contact = left;
    contact.incarnation = right.incarnation;
    contact.version = right.version;
    contact.state = right.state;
    return contact == right;
}

}

class MemberDirectory::Private : public std::enable_shared_from_this<MemberDirectory::Private>
{
public:
    explicit Private(Options given)
        : options(std::move(given))
        , random(options.seed)
        , mayBeRegistered(!options.firstStart)
    {
    }

    Options options;
    std::mt19937_64 random;
    bool registered = false;
    // Whether the list was read, and whether it was read after this node registered.
    bool listRead = false;
    bool listReadAfterRegistration = false;
    // Whether an earlier process may have left this node's contact in the store.
    bool mayBeRegistered = false;
    // The listed contacts in the local data centre.
    std::vector<Endpoint> localContacts;
    int failures = 0;

    asio::awaitable<void> run();
    asio::awaitable<void> join();
    asio::awaitable<void> sweep();
    asio::awaitable<void> registerSelf();
    asio::awaitable<std::vector<Endpoint>> contacts();
    std::vector<Endpoint> chooseContacts(std::vector<Endpoint> contacts);
    asio::awaitable<void> query(Endpoint contact);
    asio::awaitable<void> querySome(std::vector<Endpoint> contacts);
    void storeFailed(const char *call, const Error &error);
};

MemberDirectory::MemberDirectory(Options options)
    : d(std::make_shared<Private>(std::move(options)))
{
}

MemberDirectory::~MemberDirectory() = default;

void MemberDirectory::start()
{
    asio::co_spawn(d->options.context, d->run(), asio::detached);
}

bool MemberDirectory::initialLookupDone() const
{
    return d->listRead || d->failures >= AttemptsWithoutStore;
}

asio::awaitable<void> MemberDirectory::deregister()
{
    const auto keep = d;
    const auto removed = co_await keep->options.store.remove(Kind, keep->options.self.name.value());
    if (!removed) {
        keep->storeFailed("remove", removed.error());
    }
}

void MemberDirectory::Private::storeFailed(const char *call, const Error &error)
{
    ++failures;
    options.log(LogLevel::Warning, "contacts-unavailable", {{"call", call}, {"reason", error.message}});
}

asio::awaitable<void> MemberDirectory::Private::run()
{
    const auto keep = shared_from_this();
    co_await join();
    while (!options.stopping) {
        co_await sleepFor(options.context, options.sweepInterval);
        const bool due = !options.stopping && options.shouldSweep();
        if (due) {
            co_await sweep();
        }
    }
}

// A VM that is lost for good leaves its contact in the store. In a fleet whose VMs are
// replaced daily the list would grow without bound: each starting node would read more
// and query more contacts that are gone.
asio::awaitable<void> MemberDirectory::Private::sweep()
{
    const auto documents = co_await options.store.list(Kind);
    if (!documents) {
        storeFailed("list", documents.error());
        co_return;
    }
    for (const auto &document : documents->documents) {
        const auto record = contactFromDocument(document.content);
        const bool isLocal = record && record->dataCentre == options.self.dataCentre;
        if (!isLocal || record->name == options.self.name || options.isKnown(record->name)) {
            continue;
        }
        // A contact that has just been rewritten has another version and stays.
        const auto removed = co_await options.store.remove(Kind, document.name, document.version);
        options.log(LogLevel::Info, "contact-removed", {{"name", document.name}, {"done", removed.has_value()}});
    }
}

// Of two nodes that start together, the one that writes later finds the other in the
// list, since each writes before it reads. One such read is enough. A restarted node
// reads first: its contact is usually still listed, and a fleet that restarts at once
// would otherwise write one contact per node.
asio::awaitable<void> MemberDirectory::Private::join()
{
    while (!options.stopping) {
        if (!registered && !mayBeRegistered) {
            co_await registerSelf();
        }
        const auto found = co_await contacts();
        if (std::exchange(mayBeRegistered, false) && !registered) {
            co_await registerSelf();
            // If the list names running members, a new node needs no second list;
            // otherwise the next list is read after the write.
            listReadAfterRegistration = registered && listRead && !options.peerAddresses().empty();
        }
        co_await querySome(found);
        const bool complete = registered && listReadAfterRegistration;
        if (complete && !options.peerAddresses().empty()) {
            break;
        }
        co_await sleepFor(options.context, complete ? LoneMemberInterval : RetryInterval);
    }
}

asio::awaitable<void> MemberDirectory::Private::registerSelf()
{
    const auto written = co_await options.store.put(Kind, options.self.name.value(), contactDocument(options.self));
    registered = written.has_value();
    if (!written) {
        storeFailed("put", written.error());
    }
}

asio::awaitable<std::vector<Endpoint>> MemberDirectory::Private::contacts()
{
    // Members that found this node while the store was unavailable know the rest.
    std::vector<Endpoint> found = options.peerAddresses();
    found.insert(found.end(), options.seeds.begin(), options.seeds.end());
    const auto documents = co_await options.store.list(Kind);
    if (!documents) {
        storeFailed("list", documents.error());
        co_return found;
    }
    listRead = true;
    logUnreadable(options.log, Kind, *documents);
    std::vector<MemberRecord> members;
    localContacts.clear();
    for (const auto &document : documents->documents) {
        auto record = contactFromDocument(document.content);
        if (!record) {
            options.log(LogLevel::Warning, "contact-refused", {{"name", document.name}, {"reason", record.error().message}});
        } else if (record->name == options.self.name) {
            registered = registered || isSameContact(*record, options.self);
        } else {
            (record->dataCentre == options.self.dataCentre ? localContacts : found).push_back(record->control());
            members.push_back(std::move(*record));
        }
    }
    listReadAfterRegistration = registered;
    options.storedMembersReceived(members);
    co_return chooseContacts(std::move(found));
}

// Only a few contacts are queried: the member list of a large fleet is long, and every
// member returns the same one.
std::vector<Endpoint> MemberDirectory::Private::chooseContacts(std::vector<Endpoint> contacts)
{
    std::shuffle(localContacts.begin(), localContacts.end(), random);
    std::shuffle(contacts.begin(), contacts.end(), random);
    contacts.resize(std::min(contacts.size(), localContacts.size() < ContactsQueried ? ContactsQueried : RemoteContactsQueried));
    contacts.insert(contacts.begin(),
        localContacts.begin(),
        localContacts.begin() + static_cast<std::ptrdiff_t>(std::min(localContacts.size(), ContactsQueried - RemoteContactsQueried)));
    return contacts;
}

asio::awaitable<void> MemberDirectory::Private::querySome(std::vector<Endpoint> contacts)
{
    std::shuffle(contacts.begin(), contacts.end(), random);
    contacts.resize(std::min(contacts.size(), ContactsQueried));
    for (const auto &contact : contacts) {
        co_await query(contact);
    }
}

asio::awaitable<void> MemberDirectory::Private::query(Endpoint contact)
{
    HttpRequest request(http::verb::get, "/members", 11);
    request.set(http::field::host, toString(contact));
    const auto response = co_await options.client.exchange(contact, std::move(request), Clock::now() + QueryTimeout);
    if (!response || response->result() != http::status::ok) {
        co_return;
    }
    const auto members = decodeMembers(response->body());
    if (!members) {
        options.log(LogLevel::Warning, "members-refused", {{"from", toString(contact)}, {"reason", members.error().message}});
        co_return;
    }
    options.membersReceived(*members);
}

}
