// Stand-in for the platform's metadata store: objects by kind and name, conditional writes, lists and watches.
#pragma once

#include "wire.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>

namespace Review {

class Store
{
public:
    using Json = nlohmann::json;

    explicit Store(Endpoint endpoint);

    void start();
    const Endpoint &endpoint() const;
    // What an operator or another writer does: creates the object or replaces its spec.
    void put(const std::string &kind, const std::string &name, const Json &spec);
    // The status of the object; null if it has none.
    Json status(const std::string &kind, const std::string &name);

private:
    struct Change
    {
        std::uint64_t revision = 0;
        std::string kind;
        Json object;
        bool deleted = false;
    };

    void handle(Connection &connection);
    std::string answer(const Message &request);
    std::string list(const std::string &kind, const std::string &after);
    std::string watch(const std::string &kind, std::uint64_t after, Seconds wait);
    std::string create(const std::string &kind, const Json &sent);
    std::string replace(const std::string &kind, const std::string &name, bool onlyStatus, const Json &sent);
    std::string remove(const std::string &kind, const std::string &name, const std::string &expected);
    Json &changed(const std::string &kind, const std::string &name);

    Endpoint m_endpoint;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision = 100;
    std::map<std::string, std::map<std::string, Json>> m_objects;
    std::vector<Change> m_history;
};

}
