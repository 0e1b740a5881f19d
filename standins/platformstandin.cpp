// Stand-in for the platform's store: objects by kind and name over HTTP/1.1, with conditional
// writes, paged lists, watches on a kind, and a history that can be compacted. For experiments:
//   GET    /admin/counters         number of requests by type
//   GET    /admin/head-history     every head that the repository of galenahilld nodes had, as a JSON array
//   POST   /admin/fault            {"mode": "none|down|slow|lose-answers|stall-watches", "delay_ms": N}
//   POST   /admin/reject           {"hosts": ["IP:PORT", ...], "status": N}: requests with these Host fields get the status, or no
//                                  response at all if it is 0; waiting watches end as well. An empty list ends that
//   POST   /admin/raw?kind=K&name=N
//                                  makes the body, which may be any text, the complete object of that name
//   POST   /admin/compact          drops the history of changes
//   POST   /admin/backup           keeps a copy of all objects
//   POST   /admin/restore          restores that copy

#include "adapters/http/httpserver.h"
#include "platform/storenames.h"
#include "platformmodel.h"
#include "serveuntilstopped.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <popt.h>
#include <set>

namespace Galenahill {

namespace {

using Json = nlohmann::json;
namespace Names = Platform::StoreNames;

// Objects in one page of a list, as on the platform.
constexpr std::size_t PageObjects = 500;

// Object in which galenahilld nodes keep the head of their repository.
constexpr const char *HeadKind = "galenahill-config";
constexpr const char *HeadName = "head";

constexpr std::size_t MaxValueBytes = 1024 * 1024;
constexpr Milliseconds WatchPoll{5};

class StoreStandIn
{
public:
    explicit StoreStandIn(asio::io_context &context)
        : m_context(context)
    {
    }

    asio::awaitable<HttpResponse> handle(HttpRequest request);

private:
    asio::awaitable<HttpResponse> handleObjectRequest(HttpRequest request);
    bool isRejected(const std::string &host) const;
    asio::awaitable<HttpResponse> reject(std::string host);
    asio::awaitable<HttpResponse> watch(std::string host, std::string kind, std::uint64_t after, Milliseconds limit);
    HttpResponse admin(const HttpRequest &request);
    HttpResponse list(const std::string &kind, const std::string &after);
    HttpResponse change(const HttpRequest &request, const std::string &kind, const std::string &name);
    asio::awaitable<void> sleep(Milliseconds time);

    asio::io_context &m_context;
    PlatformModel m_model;
    std::map<std::string, std::uint64_t> m_requestCounts;
    std::string m_mode = "none";
    std::set<std::string> m_rejectedHosts;
    unsigned m_rejectionStatus = 0;
    Milliseconds m_delay{0};
};

std::string objectText(const PlatformModel::Object &object)
{
    if (!object.raw.empty()) {
        return object.raw;
    }
    const Json metadata = {{Names::Name, object.name}, {Names::ObjectRevision, object.version}};
    return fmt::format(R"({{"{}":{},"{}":{}}})", Names::Metadata, metadata.dump(), Names::Content, object.deleted ? "null" : object.content);
}

HttpResponse textResponse(std::string text, http::status status = http::status::ok)
{
    return makeResponse(status, "application/json", std::move(text));
}

HttpResponse jsonResponse(const Json &json, http::status status = http::status::ok)
{
    return textResponse(json.dump(), status);
}

std::uint64_t number(boost::beast::string_view text)
{
    return std::strtoull(std::string(text).c_str(), nullptr, 10);
}

std::string parameter(const std::string &target, const std::string &name)
{
    const auto query = target.find('?');
    const auto begin = query == std::string::npos ? query : target.find(name + "=", query);
    if (begin == std::string::npos) {
        return {};
    }
    const auto value = begin + name.size() + 1;
    return target.substr(value, target.find('&', value) - value);
}

asio::awaitable<void> StoreStandIn::sleep(Milliseconds time)
{
    asio::steady_timer timer(m_context, time);
    ErrorCode ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<HttpResponse> StoreStandIn::handle(HttpRequest request)
{
    if (std::string(request.target()).rfind("/admin/", 0) == 0) {
        co_return admin(request);
    }
    if (m_mode == "down") {
        ++m_requestCounts["refused"];
        co_return makeErrorResponse(http::status::service_unavailable, "down", "the store stand-in simulates an outage");
    }
    if (m_mode == "slow") {
        co_await sleep(m_delay);
    }
    const std::string host(request[http::field::host]);
    if (isRejected(host)) {
        co_return co_await reject(host);
    }
    const bool writes = request.method() != http::verb::get;
    const bool lost = m_mode == "lose-answers" && writes;
    auto response = co_await handleObjectRequest(std::move(request));
    if (lost) {
        ++m_requestCounts["lost_answers"];
        response = makeErrorResponse(http::status::bad_gateway, "lost", "the store stand-in simulates a lost response");
    }
    co_return response;
}

asio::awaitable<HttpResponse> StoreStandIn::handleObjectRequest(HttpRequest request)
{
    const std::string target(request.target());
    const std::string path = target.substr(0, target.find('?'));
    if (path.rfind(Names::Objects, 0) != 0) {
        co_return makeErrorResponse(http::status::not_found, "not-found", "no such resource");
    }
    const auto objectPath = path.substr(std::string_view(Names::Objects).size());
    const auto slash = objectPath.find('/');
    const auto kind = objectPath.substr(0, slash);
    const auto name = slash == std::string::npos ? std::string() : objectPath.substr(slash + 1);
    if (request.method() != http::verb::get) {
        ++m_requestCounts["write"];
        co_return change(request, kind, name);
    }
    const auto after = parameter(target, Names::Watch);
    if (!after.empty()) {
        ++m_requestCounts["watch"];
        co_return co_await watch(std::string(request[http::field::host]), kind, number(after), Milliseconds(number(parameter(target, Names::WaitMs))));
    }
    ++m_requestCounts[name.empty() ? "list" : "read"];
    if (name.empty()) {
        co_return list(kind, parameter(target, Names::After));
    }
    const auto object = m_model.read(kind, name);
    co_return object ? textResponse(objectText(*object)) : makeErrorResponse(http::status::not_found, "not-found", name);
}

HttpResponse StoreStandIn::list(const std::string &kind, const std::string &after)
{
    const auto objects = m_model.list(kind, after);
    std::vector<std::string> items;
    for (std::size_t i = 0; i < std::min(objects.size(), PageObjects); ++i) {
        items.push_back(objectText(objects[i]));
    }
    return textResponse(fmt::format(R"({{"{}":[{}],"{}":{},"{}":{}}})",
        Names::Items,
        fmt::join(items, ","),
        Names::HasMore,
        objects.size() > PageObjects,
        Names::StoreRevision,
        m_model.version()));
}

HttpResponse StoreStandIn::change(const HttpRequest &request, const std::string &kind, const std::string &name)
{
    const auto writeFailure = [&](const std::string &of) {
        const auto current = m_model.read(kind, of);
        return current ? textResponse(objectText(*current), http::status::conflict) : makeErrorResponse(http::status::not_found, "not-found", of);
    };
    if (request.method() == http::verb::delete_) {
        const auto expected = number(parameter(std::string(request.target()), Names::ObjectRevision));
        return m_model.remove(kind, name, expected) ? jsonResponse(Json::object()) : writeFailure(name);
    }
    if (request.body().size() > MaxValueBytes) {
        return makeErrorResponse(http::status::payload_too_large, "too-large", name);
    }
    const auto json = Json::parse(request.body(), nullptr, false);
    if (!json.is_object() || !json.contains(Names::Metadata) || !json.contains(Names::Content)) {
        return makeErrorResponse(http::status::bad_request, "invalid", "an object must have metadata and content");
    }
    const auto &metadata = json.at(Names::Metadata);
    const auto content = json.at(Names::Content).dump();
    const auto objectName = metadata.value(Names::Name, name);
    const auto object = request.method() == http::verb::post ? m_model.create(kind, objectName, content)
                                                             : m_model.replace(kind, name, content, metadata.value(Names::ObjectRevision, std::uint64_t(0)));
    return object ? textResponse(objectText(*object)) : writeFailure(objectName);
}

bool StoreStandIn::isRejected(const std::string &host) const
{
    return m_rejectedHosts.count(host) > 0;
}

asio::awaitable<HttpResponse> StoreStandIn::reject(std::string host)
{
    ++m_requestCounts["rejected"];
    while (m_rejectionStatus == 0 && isRejected(host)) {
        co_await sleep(WatchPoll);
    }
    const auto status = m_rejectionStatus == 0 ? http::status::service_unavailable : static_cast<http::status>(m_rejectionStatus);
    co_return makeErrorResponse(status, "rejected", "the store stand-in rejects requests to " + host);
}

asio::awaitable<HttpResponse> StoreStandIn::watch(std::string host, std::string kind, std::uint64_t after, Milliseconds limit)
{
    const auto until = Clock::now() + limit;
    std::vector<std::string> events;
    while (events.empty() && (Clock::now() < until || m_mode == "stall-watches")) {
        if (isRejected(host)) {
            co_return co_await reject(host);
        }
        const auto changes = m_model.changesAfter(kind, after);
        if (!changes) {
            co_return makeErrorResponse(http::status::gone, "gone", "the history no longer goes back to that version");
        }
        for (const auto &change : m_mode == "stall-watches" ? std::vector<PlatformModel::Object>() : *changes) {
            events.push_back(fmt::format(R"({{"{}":{},"{}":{}}})", Names::Object, objectText(change), Names::Deleted, change.deleted));
        }
        if (events.empty()) {
            co_await sleep(WatchPoll);
        }
    }
    co_return textResponse(fmt::format(R"({{"{}":[{}],"{}":{}}})", Names::Events, fmt::join(events, ","), Names::StoreRevision, m_model.version()));
}

// Returns every text that the repository's head had.
Json headHistory(const PlatformModel &model)
{
    Json texts = Json::array();
    for (const auto &content : model.contentsOf(HeadKind, HeadName)) {
        texts.push_back(Json::parse(content).at("text"));
    }
    return texts;
}

HttpResponse StoreStandIn::admin(const HttpRequest &request)
{
    const auto target = request.target();
    if (target == "/admin/counters") {
        return makeResponse(http::status::ok, "application/json", nlohmann::json(m_requestCounts).dump());
    }
    if (target == "/admin/head-history") {
        return makeResponse(http::status::ok, "application/json", headHistory(m_model).dump());
    }
    if (target.starts_with("/admin/raw?")) {
        const std::string path(target);
        m_model.putRaw(parameter(path, "kind"), parameter(path, "name"), request.body());
    } else if (target == "/admin/compact") {
        m_model.compactHistory();
    } else if (target == "/admin/backup") {
        m_model.backUp();
    } else if (target == "/admin/restore") {
        m_model.restore();
    } else if (target == "/admin/reject") {
        const auto rejection = nlohmann::json::parse(request.body(), nullptr, false);
        m_rejectedHosts = rejection.value("hosts", std::set<std::string>());
        m_rejectionStatus = rejection.value("status", 0U);
    } else if (target == "/admin/fault") {
        const auto fault = nlohmann::json::parse(request.body(), nullptr, false);
        m_mode = fault.value("mode", "none");
        m_delay = Milliseconds(fault.value("delay_ms", 2000));
    }
    return makeResponse(http::status::ok, "text/plain", "");
}

int run(const std::string &address, std::uint16_t port)
{
    asio::io_context context(1);
    StoreStandIn store(context);
    return serveUntilStopped(context,
        {.endpoint = {address, port},
            .handler = [&](HttpRequest request, ServerConnection &) { return store.handle(std::move(request)); },
            .limits = {.bodyBytes = 2 * MaxValueBytes}});
}

}

}

int main(int argc, const char **argv)
{
    char *address = nullptr;
    int port = 7000;
    const poptOption options[] = {
        {"address", 'a', POPT_ARG_STRING, &address, 0, "IP address to listen on", "IP"},
        {"port", 'p', POPT_ARG_INT, &port, 0, "Port to listen on", "PORT"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    poptContext context = poptGetContext("platformstandin", argc, argv, options, 0);
    if (poptGetNextOpt(context) < -1) {
        fmt::print(stderr, "platformstandin: invalid option; see --help\n");
        return 2;
    }
    return Galenahill::run(address == nullptr ? "127.0.0.1" : address, static_cast<std::uint16_t>(port));
}
