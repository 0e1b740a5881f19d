#pragma once

#include "adapters/http/httpclient.h"

#include <cstdint>
#include <functional>
#include <string>

namespace Galenahill {

// Announces a target stand-in to the node on its VM, as the platform's targets do: with a request
// at regular intervals, and another one as soon as it starts or stops draining.
class Announcer
{
public:
    struct Options
    {
        // Address of the node's registration endpoint.
        Endpoint registration;
        // File with the request line and the body of an announcement, with placeholders in braces for
        // the values of the target.
        std::string sampleFile;
        std::string id;
        std::string service;
        std::string dataCentre;
        Endpoint address;
        Milliseconds interval{200};
        std::function<std::uint32_t()> slots;
        std::function<bool()> draining;
    };

    // Throws if the sample file can't be read.
    Announcer(asio::io_context &context, Options options);

    // Starts sending announcements, until the context stops.
    void start();

private:
    asio::awaitable<void> run();
    HttpRequest request();

    asio::io_context &m_context;
    Options m_options;
    HttpClient m_client;
    std::string m_requestLine;
    std::string m_body;
    std::int64_t m_startedAt;
    std::uint64_t m_sequence = 0;
};

}
