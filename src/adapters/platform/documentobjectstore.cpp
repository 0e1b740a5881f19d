#include "adapters/platform/documentobjectstore.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>

namespace Galenahill {

namespace {

using Json = nlohmann::json;

// How often a blocked call looks whether it should stop.
constexpr Milliseconds StopCheckInterval{100};

// Kinds of the product's own begin so, since the platform has kinds as well.
constexpr const char *KindPrefix = "galenahill";

constexpr const char *TextField = "text";
constexpr const char *StampField = "stamp";

// A key as the store has it.
struct Place
{
    std::string kind;
    std::string name;
};

Place placeOf(const std::string &key)
{
    Place place{.kind = KindPrefix, .name = {}};
    std::size_t begin = 0;
    for (auto slash = key.find('/'); slash != std::string::npos; slash = key.find('/', begin)) {
        place.kind += "-" + key.substr(begin, slash - begin);
        begin = slash + 1;
    }
    place.name = key.substr(begin);
    return place;
}

// The stamp makes each write a change. To the store, the same content again is
// none, and the version stays; a collector that expects the version it saw would
// then remove a text that has just been written anew.
std::string contentOf(const std::string &value)
{
    thread_local std::mt19937_64 random{std::random_device()()};
    return Json({{TextField, value}, {StampField, random()}}).dump();
}

Result<StoredObject> objectOf(const StoredDocument &document)
{
    const auto json = Json::parse(document.content, nullptr, false);
    const auto text = json.is_object() ? json.find(TextField) : json.end();
    if (text == json.end() || !text->is_string()) {
        return failure(ErrorKind::Corrupt, "store: " + document.name + " has no text; another program wrote it, restore it from a backup");
    }
    return StoredObject{text->get<std::string>(), document.version};
}

}

class DocumentObjectStore::Private
{
public:
    Open open;
    std::atomic<bool> stopped = false;
    std::atomic<std::uint64_t> calls = 0;

    // Runs the call on a context of its own and waits for it.
    template <typename Value>
    Result<Value> run(const std::string &key, const std::function<asio::awaitable<Result<Value>>(DocumentStore &)> &call)
    {
        if (stopped) {
            return failure(ErrorKind::Unavailable, "store: this node is stopping");
        }
        asio::io_context context(1);
        HttpClient client(context, {});
        const auto store = open(client);
        std::optional<Result<Value>> result;
        asio::co_spawn(
            context, [&]() -> asio::awaitable<void> { result = co_await call(*store); }, asio::detached);
        while (!result && !stopped) {
            context.run_for(StopCheckInterval);
        }
        calls += store->calls();
        if (!result) {
            return failure(ErrorKind::OutcomeUnknown, "store: " + key + ": this node is stopping");
        }
        if (!*result) {
            return failure(result->error().kind, fmt::format("store: {}: {}", key, result->error().message));
        }
        return std::move(*result);
    }
};

DocumentObjectStore::DocumentObjectStore(Open open)
    : d(std::make_unique<Private>())
{
    d->open = std::move(open);
}

DocumentObjectStore::~DocumentObjectStore() = default;

Result<StoredObject> DocumentObjectStore::read(const std::string &key)
{
    const auto place = placeOf(key);
    auto document = d->run<StoredDocument>(key, [&](DocumentStore &store) { return store.read(place.kind, place.name); });
    if (document) {
        return objectOf(*document);
    }
    // A read changes nothing, so a lost answer is no unknown outcome.
    const bool lost = document.error().kind == ErrorKind::OutcomeUnknown;
    return failure(lost ? ErrorKind::Unavailable : document.error().kind, document.error().message);
}

Result<ObjectVersion> DocumentObjectStore::write(const std::string &key, const std::string &value, ObjectVersion expected)
{
    const auto place = placeOf(key);
    return d->run<ObjectVersion>(key, [&](DocumentStore &store) { return store.write(place.kind, place.name, contentOf(value), expected); });
}

Result<void> DocumentObjectStore::remove(const std::string &key, ObjectVersion expected)
{
    const auto place = placeOf(key);
    return d->run<void>(key, [&](DocumentStore &store) { return store.remove(place.kind, place.name, expected); });
}

Result<std::vector<std::string>> DocumentObjectStore::list(const std::string &prefix)
{
    const auto place = placeOf(prefix);
    const auto set = d->run<DocumentSet>(prefix, [&](DocumentStore &store) { return store.list(place.kind); });
    if (!set) {
        return failure(ErrorKind::Unavailable, set.error().message);
    }
    std::vector<std::string> keys;
    for (const auto &document : set->documents) {
        keys.push_back(prefix + document.name);
    }
    return keys;
}

namespace {

// The last state of the named document among those that changed, if any.
std::optional<StoredDocument> lastOf(const DocumentSet &set, const std::string &name)
{
    std::optional<StoredDocument> last;
    for (const auto &document : set.documents) {
        if (document.name == name && !document.removed) {
            last = document;
        }
    }
    return last;
}

// Waits until the document has another version than the known one.
asio::awaitable<Result<StoredDocument>> awaitChange(DocumentStore &store, Place place, ObjectVersion known, TimePoint until)
{
    auto from = known;
    while (Clock::now() < until) {
        // Without a version to go on from, or with its history gone, the state
        // itself tells.
        const bool lists = from == ObjectVersion();
        const auto left = std::chrono::duration_cast<Milliseconds>(until - Clock::now());
        auto asking = lists ? store.list(place.kind) : store.watch(place.kind, from, std::max(left, Milliseconds(1)));
        const auto set = co_await std::move(asking);
        if (!set && set.error().kind != ErrorKind::NotFound) {
            co_return tl::unexpected(set.error());
        }
        from = set ? set->version : ObjectVersion();
        auto document = set ? lastOf(*set, place.name) : std::nullopt;
        if (document && document->version != known) {
            co_return std::move(*document);
        }
    }
    co_return failure(ErrorKind::NotFound, "nothing changed in time");
}

}

Result<StoredObject> DocumentObjectStore::watch(const std::string &key, ObjectVersion known, Milliseconds timeLimit)
{
    const auto place = placeOf(key);
    const auto until = Clock::now() + timeLimit;
    const auto document = d->run<StoredDocument>(key, [&](DocumentStore &store) { return awaitChange(store, place, known, until); });
    if (document) {
        return objectOf(*document);
    }
    const bool nothing = document.error().kind == ErrorKind::NotFound;
    return failure(nothing ? ErrorKind::NotFound : ErrorKind::Unavailable, document.error().message);
}

void DocumentObjectStore::stop()
{
    d->stopped = true;
}

std::uint64_t DocumentObjectStore::calls() const
{
    return d->calls;
}

}
