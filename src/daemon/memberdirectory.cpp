#include "daemon/memberdirectory.h"

#include "adapters/codec/binarycodec.h"
#include "adapters/http/sleep.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

namespace Galenahill {

namespace {

constexpr const char *Kind = "contacts";

// Contacts asked for their members: one may be gone or as new as this node.
constexpr std::size_t Asked = 3;

// Of them, those in other data centres, where some in the own one are listed.
constexpr std::size_t AskedFar = 1;

constexpr Milliseconds AskTimeout{700};

// Until the next try while the store doesn't answer, and while no other member
// is known though it does.
constexpr Milliseconds RetryTime{500};
constexpr Milliseconds AloneTime{2500};

// Failed tries after which the node doesn't wait for the store any more.
constexpr int TriesToGiveUp = 3;

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
        const auto json = nlohmann::json::parse(content);
        record.name = NodeName(json.at("name").get<std::string>());
        record.dataCentre = DataCentre(json.at("data-centre").get<std::string>());
        record.service = ServiceName(json.at("service").get<std::string>());
        record.address = json.at("address").get<std::string>();
        record.ingressPort = json.at("ingress-port").get<std::uint16_t>();
        record.sidecarPort = json.at("sidecar-port").get<std::uint16_t>();
        record.controlPort = json.at("control-port").get<std::uint16_t>();
        record.linkMbps = json.value("link-mbps", std::uint32_t(0));
        record.incarnation = json.at("incarnation").get<std::uint64_t>();
    } catch (const nlohmann::json::exception &error) {
        return failure(ErrorKind::Corrupt, std::string("contact: ") + error.what() + "; the node that wrote it runs another version, or another writer did");
    }
    if (!isPlausible(record)) {
        return failure(ErrorKind::Corrupt, "contact: has no name or address; remove it from the store");
    }
    return record;
}

namespace {

// Whether others reach the member in the same way, whenever it was started.
bool isSamePlace(const MemberRecord &left, const MemberRecord &right)
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
        , mayBeListed(!options.firstStart)
    {
    }

    Options options;
    std::mt19937_64 random;
    bool registered = false;
    // Whether the list was read, and after this node was written into it.
    bool consulted = false;
    bool listed = false;
    // Whether this node's contact may be in the list though this process hasn't written
    // it.
    bool mayBeListed = false;
    // Of the listed contacts, those in the own data centre.
    std::vector<Endpoint> near;
    int failures = 0;

    asio::awaitable<void> run();
    asio::awaitable<void> join();
    asio::awaitable<void> sweep();
    asio::awaitable<void> registerSelf();
    asio::awaitable<std::vector<Endpoint>> contacts();
    std::vector<Endpoint> choose(std::vector<Endpoint> contacts);
    asio::awaitable<void> ask(Endpoint contact);
    asio::awaitable<void> askSome(std::vector<Endpoint> contacts);
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

bool MemberDirectory::consulted() const
{
    return d->consulted || d->failures >= TriesToGiveUp;
}

asio::awaitable<void> MemberDirectory::withdraw()
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
        const bool due = !options.stopping && options.sweeps();
        if (due) {
            co_await sweep();
        }
    }
}

// A VM that is gone for good leaves its contact behind. In a fleet whose VMs are
// replaced daily the list would grow without end, and with it what each starting
// node reads and whom it asks.
asio::awaitable<void> MemberDirectory::Private::sweep()
{
    const auto documents = co_await options.store.list(Kind);
    if (!documents) {
        storeFailed("list", documents.error());
        co_return;
    }
    for (const auto &document : documents->documents) {
        const auto record = contactFromDocument(document.content);
        const bool own = record && record->dataCentre == options.self.dataCentre;
        if (!own || record->name == options.self.name || options.known(record->name)) {
            continue;
        }
        // One that has just been written again has another version and stays.
        const auto removed = co_await options.store.remove(Kind, document.name, document.version);
        options.log(LogLevel::Info, "contact-removed", {{"name", document.name}, {"done", removed.has_value()}});
    }
}

// Of two nodes that start together, the one that writes later finds the other in
// the list, since each writes before it reads. One such read is enough. A restarted
// node reads first: its contact is mostly there, and a fleet that returns as a whole
// would write one for each.
asio::awaitable<void> MemberDirectory::Private::join()
{
    while (!options.stopping) {
        if (!registered && !mayBeListed) {
            co_await registerSelf();
        }
        const auto found = co_await contacts();
        if (std::exchange(mayBeListed, false) && !registered) {
            co_await registerSelf();
            // New beside a fleet that the list names; with none there, the next list
            // is read after the write.
            listed = registered && !options.others().empty();
        }
        co_await askSome(found);
        const bool complete = registered && listed;
        if (complete && !options.others().empty()) {
            break;
        }
        co_await sleepFor(options.context, complete ? AloneTime : RetryTime);
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
    // Those that found this node while the store is out know the rest.
    std::vector<Endpoint> found = options.others();
    found.insert(found.end(), options.seeds.begin(), options.seeds.end());
    const auto documents = co_await options.store.list(Kind);
    if (!documents) {
        storeFailed("list", documents.error());
        co_return found;
    }
    consulted = true;
    std::vector<MemberRecord> members;
    near.clear();
    for (const auto &document : documents->documents) {
        auto record = contactFromDocument(document.content);
        if (!record) {
            options.log(LogLevel::Warning, "contact-refused", {{"name", document.name}, {"reason", record.error().message}});
        } else if (record->name == options.self.name) {
            registered = registered || isSamePlace(*record, options.self);
        } else {
            (record->dataCentre == options.self.dataCentre ? near : found).push_back(record->control());
            members.push_back(std::move(*record));
        }
    }
    listed = registered;
    options.listed(members);
    co_return choose(std::move(found));
}

// The list of members is long in a large fleet, and any member gives the same.
std::vector<Endpoint> MemberDirectory::Private::choose(std::vector<Endpoint> contacts)
{
    std::shuffle(near.begin(), near.end(), random);
    std::shuffle(contacts.begin(), contacts.end(), random);
    contacts.resize(std::min(contacts.size(), near.size() < Asked ? Asked : AskedFar));
    contacts.insert(contacts.begin(), near.begin(), near.begin() + static_cast<std::ptrdiff_t>(std::min(near.size(), Asked - AskedFar)));
    return contacts;
}

asio::awaitable<void> MemberDirectory::Private::askSome(std::vector<Endpoint> contacts)
{
    std::shuffle(contacts.begin(), contacts.end(), random);
    contacts.resize(std::min(contacts.size(), Asked));
    for (const auto &contact : contacts) {
        co_await ask(contact);
    }
}

asio::awaitable<void> MemberDirectory::Private::ask(Endpoint contact)
{
    HttpRequest request(http::verb::get, "/members", 11);
    request.set(http::field::host, toString(contact));
    const auto answer = co_await options.client.exchange(contact, std::move(request), Clock::now() + AskTimeout);
    if (!answer || answer->result() != http::status::ok) {
        co_return;
    }
    const auto members = decodeMembers(answer->body());
    if (!members) {
        options.log(LogLevel::Warning, "members-refused", {{"from", toString(contact)}, {"reason", members.error().message}});
        co_return;
    }
    options.found(*members);
}

}
