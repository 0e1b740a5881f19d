#pragma once

#include "adapters/http/httpclient.h"

#include <cstdint>
#include <functional>
#include <string>

namespace Galenahill {

// Announces a target stand-in to the node beside it, as the platform's targets do:
// a request every so often, and one more when it begins to drain.
class Announcer
{
public:
    struct Options
    {
        // Where the node takes announcements.
        Endpoint registration;
        // File with the request's first line and its body, with names in braces
        // where the target's own values go.
        std::string sampleFile;
        std::string id;
        std::string service;
        std::string dataCentre;
        Endpoint address;
        Milliseconds interval{200};
        std::function<std::uint32_t()> slots;
        std::function<bool()> draining;
    };

    // Throws if the sample can't be read.
    Announcer(asio::io_context &context, Options options);

    // Announces until the context stops.
    void start();

private:
    asio::awaitable<void> run();
    HttpRequest request();

    asio::io_context &m_context;
    Options m_options;
    HttpClient m_client;
    std::string m_firstLine;
    std::string m_body;
    std::int64_t m_startedAt;
    std::uint64_t m_sequence = 0;
};

}
