// Stand-in for the platform's object API over HTTP/1.1:
//   GET    /objects/KEY            the value, its version in Object-Version
//   GET    /objects?prefix=P       the keys as a JSON array
//   PUT    /objects/KEY            writes if If-Version matches (0: no object)
//   DELETE /objects/KEY            removes if If-Version matches
//   GET    /watch/KEY?known=V&timeout_ms=T   waits for another version
// and, for experiments:
//   GET    /admin/counters         calls by kind
//   GET    /admin/head-history     every value that config/head had, as a JSON array
//   POST   /admin/fault            {"mode": "none|down|slow|lose-answers|stall-watches", "delay_ms": N}
//   POST   /admin/backup, /admin/restore

#include "adapters/http/httpserver.h"
#include "platformmodel.h"
#include "serveuntilstopped.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <popt.h>

namespace Galenahill {

namespace {

constexpr std::size_t MaxValueBytes = 1024 * 1024;
constexpr Milliseconds WatchPoll{5};

class Platform
{
public:
    explicit Platform(asio::io_context &context)
        : m_context(context)
    {
    }

    asio::awaitable<HttpResponse> handle(HttpRequest request);

private:
    asio::awaitable<HttpResponse> objectCall(HttpRequest request);
    asio::awaitable<HttpResponse> watch(std::string key, std::uint64_t known, Milliseconds limit);
    HttpResponse admin(const HttpRequest &request);
    HttpResponse read(const std::string &key);
    HttpResponse change(const HttpRequest &request, const std::string &key);
    asio::awaitable<void> sleep(Milliseconds time);

    asio::io_context &m_context;
    PlatformModel m_model;
    std::map<std::string, std::uint64_t> m_calls;
    std::string m_mode = "none";
    Milliseconds m_delay{0};
};

HttpResponse objectResponse(const PlatformModel::Object &object)
{
    auto response = makeResponse(http::status::ok, "application/octet-stream", object.value);
    response.set("Object-Version", std::to_string(object.version));
    return response;
}

std::uint64_t number(boost::beast::string_view text)
{
    return std::strtoull(std::string(text).c_str(), nullptr, 10);
}

std::string parameter(const std::string &target, const std::string &name)
{
    const auto begin = target.find(name + "=");
    if (begin == std::string::npos) {
        return {};
    }
    const auto value = begin + name.size() + 1;
    return target.substr(value, target.find('&', value) - value);
}

asio::awaitable<void> Platform::sleep(Milliseconds time)
{
    asio::steady_timer timer(m_context, time);
    ErrorCode ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<HttpResponse> Platform::handle(HttpRequest request)
{
    if (std::string(request.target()).rfind("/admin/", 0) == 0) {
        co_return admin(request);
    }
    if (m_mode == "down") {
        ++m_calls["refused"];
        co_return makeErrorResponse(http::status::service_unavailable, "down", "the stand-in plays an outage");
    }
    if (m_mode == "slow") {
        co_await sleep(m_delay);
    }
    const bool writes = request.method() == http::verb::put || request.method() == http::verb::delete_;
    const bool lost = m_mode == "lose-answers" && writes;
    auto response = co_await objectCall(std::move(request));
    if (lost) {
        ++m_calls["lost_answers"];
        response = makeErrorResponse(http::status::bad_gateway, "lost", "the stand-in plays a lost answer");
    }
    co_return response;
}

asio::awaitable<HttpResponse> Platform::objectCall(HttpRequest request)
{
    const std::string target(request.target());
    const std::string objects = "/objects/";
    const std::string watches = "/watch/";
    if (target.rfind("/objects?prefix=", 0) == 0) {
        ++m_calls["list"];
        co_return makeResponse(http::status::ok, "application/json", nlohmann::json(m_model.list(parameter(target, "prefix"))).dump());
    }
    if (target.rfind(watches, 0) == 0) {
        ++m_calls["watch"];
        const auto key = target.substr(watches.size(), target.find('?') - watches.size());
        co_return co_await watch(key, number(parameter(target, "known")), Milliseconds(number(parameter(target, "timeout_ms"))));
    }
    if (target.rfind(objects, 0) != 0) {
        co_return makeErrorResponse(http::status::not_found, "not-found", "no such resource");
    }
    const auto key = target.substr(objects.size());
    if (request.method() == http::verb::get) {
        ++m_calls["read"];
        co_return read(key);
    }
    ++m_calls["write"];
    co_return change(request, key);
}

HttpResponse Platform::read(const std::string &key)
{
    const auto object = m_model.read(key);
    return object ? objectResponse(*object) : makeErrorResponse(http::status::not_found, "not-found", key);
}

HttpResponse Platform::change(const HttpRequest &request, const std::string &key)
{
    const auto expected = number(request["If-Version"]);
    if (request.method() == http::verb::delete_) {
        return m_model.remove(key, expected) ? makeResponse(http::status::ok, "text/plain", "") : makeErrorResponse(http::status::conflict, "conflict", key);
    }
    if (request.body().size() > MaxValueBytes) {
        return makeErrorResponse(http::status::payload_too_large, "too-large", key);
    }
    const auto version = m_model.write(key, request.body(), expected);
    if (!version) {
        return makeErrorResponse(http::status::conflict, "conflict", key);
    }
    auto response = makeResponse(http::status::ok, "text/plain", "");
    response.set("Object-Version", std::to_string(*version));
    return response;
}

asio::awaitable<HttpResponse> Platform::watch(std::string key, std::uint64_t known, Milliseconds limit)
{
    const auto until = Clock::now() + limit;
    while (Clock::now() < until || m_mode == "stall-watches") {
        const auto object = m_model.read(key);
        if (object && object->version != known && m_mode != "stall-watches") {
            co_return objectResponse(*object);
        }
        co_await sleep(WatchPoll);
    }
    co_return makeResponse(http::status::no_content, "text/plain", "");
}

HttpResponse Platform::admin(const HttpRequest &request)
{
    const auto target = request.target();
    if (target == "/admin/counters") {
        return makeResponse(http::status::ok, "application/json", nlohmann::json(m_calls).dump());
    }
    if (target == "/admin/head-history") {
        return makeResponse(http::status::ok, "application/json", nlohmann::json(m_model.history("config/head")).dump());
    }
    if (target == "/admin/backup") {
        m_model.backUp();
    } else if (target == "/admin/restore") {
        m_model.restore();
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
    Platform platform(context);
    return serveUntilStopped(context,
        {.endpoint = {address, port},
            .handler = [&](HttpRequest request, ServerConnection &) { return platform.handle(std::move(request)); },
            .maxBodyBytes = 2 * MaxValueBytes});
}

}

}

int main(int argc, const char **argv)
{
    char *address = nullptr;
    int port = 7000;
    const poptOption options[] = {
        {"address", 'a', POPT_ARG_STRING, &address, 0, "IP number to listen on", "IP"},
        {"port", 'p', POPT_ARG_INT, &port, 0, "Port to listen on", "PORT"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    poptContext context = poptGetContext("platformstandin", argc, argv, options, 0);
    if (poptGetNextOpt(context) < -1) {
        fmt::print(stderr, "platformstandin: unknown option; see --help\n");
        return 2;
    }
    return Galenahill::run(address == nullptr ? "127.0.0.1" : address, static_cast<std::uint16_t>(port));
}
