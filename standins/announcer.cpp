#include "announcer.h"

#include "adapters/http/sleep.h"
#include "samplefile.h"

#include <chrono>

namespace Galenahill {

namespace {

constexpr Milliseconds ResponseTimeout{1000};

std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}

Announcer::Announcer(asio::io_context &context, Options options)
    : m_context(context)
    , m_options(std::move(options))
    , m_client(context, {})
    , m_startedAt(unixMilliseconds())
{
    const auto lines = readSample(m_options.sampleFile, 2);
    m_requestLine = lines[0];
    m_body = lines[1];
}

void Announcer::start()
{
    asio::co_spawn(m_context, run(), asio::detached);
}

HttpRequest Announcer::request()
{
    const std::vector<std::pair<std::string, std::string>> values = {
        {"id", m_options.id},
        {"address", toString(m_options.address)},
        {"born", std::to_string(m_startedAt)},
        {"service", m_options.service},
        {"zone", m_options.dataCentre},
        {"slots", std::to_string(m_options.slots())},
        {"state", m_options.draining() ? "draining" : "ready"},
        {"sequence", std::to_string(++m_sequence)},
    };
    const auto path = fillPlaceholders(m_requestLine.substr(m_requestLine.find(' ') + 1), values);
    HttpRequest request(http::verb::put, path, 11);
    request.set(http::field::host, toString(m_options.registration));
    request.set(http::field::content_type, "application/json");
    request.body() = fillPlaceholders(m_body, values);
    return request;
}

asio::awaitable<void> Announcer::run()
{
    for (;;) {
        // The result is ignored: the next announcement follows anyway.
        (void)co_await m_client.exchange(m_options.registration, request(), Clock::now() + ResponseTimeout);
        const bool draining = m_options.draining();
        const auto next = Clock::now() + m_options.interval;
        while (Clock::now() < next && m_options.draining() == draining) {
            co_await sleepFor(m_context, Milliseconds(10));
        }
    }
}

}
