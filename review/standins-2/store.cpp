#include "store.h"

#include <algorithm>

namespace Review {

namespace {

constexpr Seconds IdleTime{120};
constexpr std::size_t PageObjects = 500;
constexpr std::string_view Prefix = "/objects/";

std::string jsonResponse(const nlohmann::json &json, int status = 200)
{
    return response(status, "Content-Type: application/json\r\n", json.dump());
}

std::string parameter(const std::string &query, const std::string &name)
{
    const auto begin = ("&" + query).find("&" + name + "=");
    if (begin == std::string::npos) {
        return {};
    }
    const auto value = begin + name.size() + 1;
    return query.substr(value, query.find('&', value) - value);
}

std::uint64_t number(const std::string &text)
{
    return std::strtoull(text.c_str(), nullptr, 10);
}

}

Store::Store(Endpoint endpoint)
    : m_endpoint(std::move(endpoint))
{
}

void Store::start()
{
    serve(m_endpoint, [this](Connection &connection) { handle(connection); });
}

const Endpoint &Store::endpoint() const
{
    return m_endpoint;
}

void Store::handle(Connection &connection)
{
    while (const auto request = connection.read(IdleTime)) {
        if (!connection.write(answer(*request))) {
            return;
        }
    }
}

// Records a change of the object and returns it, to be filled in by the caller under the lock.
Store::Json &Store::changed(const std::string &kind, const std::string &name)
{
    auto &object = m_objects[kind][name];
    ++m_revision;
    if (object.is_null()) {
        object = {{"metadata", {{"name", name}, {"create-revision", m_revision}, {"finalizers", Json::array()}, {"deletion-timestamp", false}}},
            {"spec", Json::object()},
            {"status", nullptr}};
    }
    object["metadata"]["revision"] = m_revision;
    return object;
}

void Store::put(const std::string &kind, const std::string &name, const Json &spec)
{
    const std::lock_guard lock(m_mutex);
    auto &object = changed(kind, name);
    object["spec"] = spec;
    m_history.push_back({m_revision, kind, object});
    m_changed.notify_all();
}

Store::Json Store::status(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    const auto &objects = m_objects[kind];
    const auto found = objects.find(name);
    return found == objects.end() ? Json() : found->second["status"];
}

std::string Store::answer(const Message &request)
{
    const auto target = request.target();
    const auto path = target.substr(0, target.find('?'));
    const auto query = target.find('?') == std::string::npos ? std::string() : target.substr(target.find('?') + 1);
    if (path.rfind(Prefix, 0) != 0) {
        return jsonResponse({}, 404);
    }
    const auto parts = path.substr(Prefix.size());
    const auto kind = parts.substr(0, parts.find('/'));
    auto name = parts.find('/') == std::string::npos ? std::string() : parts.substr(parts.find('/') + 1);
    constexpr std::string_view StatusPart = "/status";
    const bool isStatus = name.size() > StatusPart.size() && name.ends_with(StatusPart);
    name.resize(name.size() - (isStatus ? StatusPart.size() : 0));
    const auto method = request.method();
    if (method == "GET" && !parameter(query, "watch").empty()) {
        return watch(kind, number(parameter(query, "watch")), Seconds(static_cast<double>(number(parameter(query, "wait-ms"))) / 1000));
    }
    const std::lock_guard lock(m_mutex);
    if (method == "GET" && name.empty()) {
        return list(kind, parameter(query, "after"));
    }
    if (method == "GET") {
        const auto found = m_objects[kind].find(name);
        return found == m_objects[kind].end() ? jsonResponse({}, 404) : jsonResponse(found->second);
    }
    if (method == "DELETE") {
        return remove(kind, name, parameter(query, "revision"));
    }
    const auto sent = Json::parse(request.body, nullptr, false);
    if (!sent.is_object()) {
        return jsonResponse({}, 400);
    }
    return method == "POST" ? create(kind, sent) : replace(kind, name, isStatus, sent);
}

std::string Store::list(const std::string &kind, const std::string &after)
{
    const auto &objects = m_objects[kind];
    Json items = Json::array();
    auto next = objects.upper_bound(after);
    for (; next != objects.end() && items.size() < PageObjects; ++next) {
        items.push_back(next->second);
    }
    return jsonResponse({{"items", items}, {"has-more", next != objects.end()}, {"current-rev", m_revision}});
}

std::string Store::watch(const std::string &kind, std::uint64_t after, Seconds wait)
{
    std::unique_lock lock(m_mutex);
    Json events = Json::array();
    const auto collect = [&] {
        for (const auto &change : m_history) {
            if (change.kind == kind && change.revision > after) {
                events.push_back({{"object", change.object}, {"deleted", change.deleted}});
            }
        }
        return !events.empty();
    };
    m_changed.wait_for(lock, wait, collect);
    return jsonResponse({{"events", events}, {"current-rev", m_revision}});
}

std::string Store::create(const std::string &kind, const Json &sent)
{
    const auto name = sent["metadata"].value("name", "");
    if (const auto known = m_objects[kind].find(name); known != m_objects[kind].end()) {
        return jsonResponse(known->second, 409);
    }
    auto &object = changed(kind, name);
    object["spec"] = sent.value("spec", Json());
    m_history.push_back({m_revision, kind, object});
    m_changed.notify_all();
    return jsonResponse(object);
}

std::string Store::replace(const std::string &kind, const std::string &name, bool onlyStatus, const Json &sent)
{
    const auto known = m_objects[kind].find(name);
    if (known == m_objects[kind].end()) {
        return jsonResponse({}, 404);
    }
    const auto metadata = sent.value("metadata", Json::object());
    if (metadata.contains("revision") && metadata["revision"] != known->second["metadata"]["revision"]) {
        return jsonResponse(known->second, 409);
    }
    const char *part = onlyStatus ? "status" : "spec";
    if (known->second[part] == sent.value(part, Json())) {
        return jsonResponse(known->second);
    }
    auto &object = changed(kind, name);
    object[part] = sent.value(part, Json());
    m_history.push_back({m_revision, kind, object});
    m_changed.notify_all();
    return jsonResponse(object);
}

std::string Store::remove(const std::string &kind, const std::string &name, const std::string &expected)
{
    const auto known = m_objects[kind].find(name);
    if (known == m_objects[kind].end()) {
        return jsonResponse({}, 404);
    }
    if (!expected.empty() && known->second["metadata"]["revision"] != number(expected)) {
        return jsonResponse(known->second, 409);
    }
    auto object = known->second;
    m_objects[kind].erase(known);
    m_history.push_back({++m_revision, kind, object, true});
    m_changed.notify_all();
    return jsonResponse(object);
}

}
