#include "adapters/platform/httpobjectstore.h"

#include "adapters/http/blockinghttpclient.h"

#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Galenahill {

namespace {

// Room for the answer to a watch that ends at its time limit.
constexpr Milliseconds WatchMargin{2000};

ObjectVersion versionOf(const HttpResponse &response)
{
    const auto text = response["Object-Version"];
    std::uint64_t version = 0;
    std::from_chars(text.data(), text.data() + text.size(), version);
    return ObjectVersion(version);
}

Error errorFrom(const std::string &key, const HttpResponse &response)
{
    switch (response.result()) {
    case http::status::not_found:
    case http::status::no_content:
        return {ErrorKind::NotFound, "store: " + key + ": no such object"};
    case http::status::conflict:
        return {ErrorKind::Conflict, "store: " + key + ": another version is stored"};
    case http::status::service_unavailable:
    case http::status::too_many_requests:
        return {ErrorKind::Unavailable, fmt::format("store: {}: refused with {}; try again later", key, response.result_int())};
    default:
        // Any other failure may have come after the write took effect.
        return {ErrorKind::OutcomeUnknown, fmt::format("store: {}: answered {}; check the platform's service", key, response.result_int())};
    }
}

}

class HttpObjectStore::Private
{
public:
    Options options;
    std::atomic<bool> stopped = false;
    std::atomic<std::uint64_t> calls = 0;

    Result<HttpResponse> call(http::verb method, const std::string &target, const std::string &body, ObjectVersion expected, Milliseconds limit)
    {
        if (stopped) {
            return failure(ErrorKind::Unavailable, "store: this node is stopping");
        }
        ++calls;
        HttpRequest request(method, target, 11);
        request.set(http::field::host, toString(options.endpoint));
        if (method == http::verb::put || method == http::verb::delete_) {
            request.set("If-Version", std::to_string(expected.value()));
        }
        request.body() = body;
        auto response = blockingExchange(options.endpoint, std::move(request), limit, &stopped);
        if (!response) {
            return failure(response.error().kind, "store: " + response.error().message + "; check the platform's service, then try again");
        }
        return response;
    }
};

HttpObjectStore::HttpObjectStore(Options options)
    : d(std::make_unique<Private>())
{
    d->options = std::move(options);
}

HttpObjectStore::~HttpObjectStore() = default;

Result<StoredObject> HttpObjectStore::read(const std::string &key)
{
    auto response = d->call(http::verb::get, "/objects/" + key, {}, {}, d->options.callTimeout);
    if (!response) {
        // A read changes nothing, so a lost answer is no unknown outcome.
        return failure(ErrorKind::Unavailable, response.error().message);
    }
    if (response->result() != http::status::ok) {
        return tl::unexpected(errorFrom(key, *response));
    }
    return StoredObject{response->body(), versionOf(*response)};
}

Result<ObjectVersion> HttpObjectStore::write(const std::string &key, const std::string &value, ObjectVersion expected)
{
    const auto response = d->call(http::verb::put, "/objects/" + key, value, expected, d->options.callTimeout);
    if (!response) {
        return tl::unexpected(response.error());
    }
    if (response->result() != http::status::ok) {
        return tl::unexpected(errorFrom(key, *response));
    }
    return versionOf(*response);
}

Result<void> HttpObjectStore::remove(const std::string &key, ObjectVersion expected)
{
    const auto response = d->call(http::verb::delete_, "/objects/" + key, {}, expected, d->options.callTimeout);
    if (!response) {
        return tl::unexpected(response.error());
    }
    if (response->result() != http::status::ok) {
        return tl::unexpected(errorFrom(key, *response));
    }
    return {};
}

Result<std::vector<std::string>> HttpObjectStore::list(const std::string &prefix)
{
    const auto response = d->call(http::verb::get, "/objects?prefix=" + prefix, {}, {}, d->options.callTimeout);
    if (!response) {
        return failure(ErrorKind::Unavailable, response.error().message);
    }
    if (response->result() != http::status::ok) {
        return tl::unexpected(errorFrom(prefix, *response));
    }
    const auto json = nlohmann::json::parse(response->body(), nullptr, false);
    if (!json.is_array()) {
        return failure(ErrorKind::Corrupt, "store: the list of " + prefix + " doesn't decode; check the platform's service");
    }
    return json.get<std::vector<std::string>>();
}

Result<StoredObject> HttpObjectStore::watch(const std::string &key, ObjectVersion known, Milliseconds timeLimit)
{
    const auto target = fmt::format("/watch/{}?known={}&timeout_ms={}", key, known.value(), timeLimit.count());
    auto response = d->call(http::verb::get, target, {}, {}, timeLimit + WatchMargin);
    if (!response) {
        return failure(ErrorKind::Unavailable, response.error().message);
    }
    if (response->result() != http::status::ok) {
        return tl::unexpected(errorFrom(key, *response));
    }
    return StoredObject{response->body(), versionOf(*response)};
}

void HttpObjectStore::stop()
{
    d->stopped = true;
}

std::uint64_t HttpObjectStore::calls() const
{
    return d->calls;
}

}
