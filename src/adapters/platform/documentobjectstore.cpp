#include "adapters/platform/documentobjectstore.h"

#include "common/boundedjson.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>

namespace Galenahill {

namespace {

using Json = nlohmann::json;

// How often a blocked call checks whether it should stop.
constexpr Milliseconds StopCheckInterval{100};

// Prefix of the project's kinds, since the platform has kinds of its own.
constexpr const char *KindPrefix = "galenahill";

constexpr const char *TextField = "text";
constexpr const char *StampField = "stamp";

// Kind and name of the document for a key.
struct DocumentId
{
    std::string kind;
    std::string name;
};

DocumentId documentIdOf(const std::string &key)
{
    DocumentId id{.kind = KindPrefix, .name = {}};
    std::size_t begin = 0;
    for (auto slash = key.find('/'); slash != std::string::npos; slash = key.find('/', begin)) {
        id.kind += "-" + key.substr(begin, slash - begin);
        begin = slash + 1;
    }
    id.name = key.substr(begin);
    return id;
}

// The random stamp makes each write a change. The store ignores a write of the same content and
// keeps its version, so a collector that removes the version it has seen would delete a text that
// has just been written again.
std::string contentOf(const std::string &value)
{
    thread_local std::mt19937_64 random{std::random_device()()};
    return Json({{TextField, value}, {StampField, random()}}).dump();
}

Result<StoredObject> objectOf(const StoredDocument &document)
{
    const auto json = parseJsonOrNull(document.content);
    const auto text = json.is_object() ? json.find(TextField) : json.end();
    if (text == json.end() || !text->is_string()) {
        return failure(ErrorKind::Corrupt, "store: " + document.name + " has no text field; another program wrote it, restore it from a backup");
    }
    return StoredObject{text->get<std::string>(), document.version};
}

}

class DocumentObjectStore::Private
{
public:
    StoreFactory open;
    std::atomic<bool> stopped = false;
    std::atomic<std::uint64_t> calls = 0;

    // Runs the call on its own I/O context and waits for its result.
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

DocumentObjectStore::DocumentObjectStore(StoreFactory open)
    : d(std::make_unique<Private>())
{
    d->open = std::move(open);
}

DocumentObjectStore::~DocumentObjectStore() = default;

Result<StoredObject> DocumentObjectStore::read(const std::string &key)
{
    const auto id = documentIdOf(key);
    auto document = d->run<StoredDocument>(key, [&](DocumentStore &store) { return store.read(id.kind, id.name); });
    if (document) {
        return objectOf(*document);
    }
    // A read changes nothing, so a lost response leaves no unknown outcome.
    const bool responseLost = document.error().kind == ErrorKind::OutcomeUnknown;
    return failure(responseLost ? ErrorKind::Unavailable : document.error().kind, document.error().message);
}

Result<ObjectVersion> DocumentObjectStore::write(const std::string &key, const std::string &value, ObjectVersion expected)
{
    const auto id = documentIdOf(key);
    return d->run<ObjectVersion>(key, [&](DocumentStore &store) { return store.write(id.kind, id.name, contentOf(value), expected); });
}

Result<void> DocumentObjectStore::remove(const std::string &key, ObjectVersion expected)
{
    const auto id = documentIdOf(key);
    return d->run<void>(key, [&](DocumentStore &store) { return store.remove(id.kind, id.name, expected); });
}

Result<std::vector<std::string>> DocumentObjectStore::list(const std::string &prefix)
{
    const auto id = documentIdOf(prefix);
    const auto set = d->run<DocumentSet>(prefix, [&](DocumentStore &store) { return store.list(id.kind); });
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

// The latest state of the named document in a set of changes, if any.
std::optional<StoredDocument> latestOf(const DocumentSet &set, const std::string &name)
{
    std::optional<StoredDocument> last;
    for (const auto &document : set.documents) {
        if (document.name == name && !document.removed) {
            last = document;
        }
    }
    return last;
}

// Waits until the document's version differs from the known one.
asio::awaitable<Result<StoredDocument>> awaitChange(DocumentStore &store, DocumentId id, ObjectVersion known, TimePoint until)
{
    auto from = known;
    while (Clock::now() < until) {
        // Lists the documents if there is no version to watch from, or the store no longer has the
        // changes since then.
        const bool needsList = from == ObjectVersion();
        const auto left = std::chrono::duration_cast<Milliseconds>(until - Clock::now());
        auto pending = needsList ? store.list(id.kind) : store.watch(id.kind, from, std::max(left, Milliseconds(1)));
        const auto set = co_await std::move(pending);
        if (!set && set.error().kind != ErrorKind::NotFound) {
            co_return tl::unexpected(set.error());
        }
        from = set ? set->version : ObjectVersion();
        auto document = set ? latestOf(*set, id.name) : std::nullopt;
        if (document && document->version != known) {
            co_return std::move(*document);
        }
    }
    co_return failure(ErrorKind::NotFound, "no change within the time limit");
}

}

Result<StoredObject> DocumentObjectStore::watch(const std::string &key, ObjectVersion known, Milliseconds timeLimit)
{
    const auto id = documentIdOf(key);
    const auto until = Clock::now() + timeLimit;
    const auto document = d->run<StoredDocument>(key, [&](DocumentStore &store) { return awaitChange(store, id, known, until); });
    if (document) {
        return objectOf(*document);
    }
    const bool unchanged = document.error().kind == ErrorKind::NotFound;
    return failure(unchanged ? ErrorKind::NotFound : ErrorKind::Unavailable, document.error().message);
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
