#include "nestedcaller.h"

#include "core/calls/callheaders.h"

#include <chrono>
#include <fmt/format.h>
#include <iterator>

namespace Galenahill {

namespace {

constexpr Milliseconds Timeouts[] = {Milliseconds(500), Milliseconds(200)};

const char *endOf(const Result<HttpResponse> &response, bool timedOut)
{
    if (response) {
        return "response";
    }
    if (response.error().kind == ErrorKind::Unavailable) {
        return "unsent";
    }
    return timedOut ? "timed-out" : "closed";
}

const char *outcomeOf(const Result<HttpResponse> &response, const std::string &id, const std::string &idField)
{
    if (!response) {
        return response.error().kind == ErrorKind::Unavailable ? "not-run" : "unknown";
    }
    if ((*response)[CallHeaders::Outcome] == CallHeaders::NotRun) {
        return "not-run";
    }
    if (response->result() != http::status::ok) {
        return "unknown";
    }
    return (*response)[idField] == id && response->body().starts_with("done " + id) ? "answered" : "mismatched";
}

}

NestedCaller::NestedCaller(asio::io_context &context, Options options)
    : m_options(std::move(options))
    , m_client(context, {})
{
}

asio::awaitable<std::string> NestedCaller::call(std::string parent)
{
    const auto &names = m_options.headerNames;
    const auto timeout = Timeouts[m_calls % std::size(Timeouts)];
    const auto id = fmt::format("{}.{}-{}", parent, m_options.targetId, m_calls++);
    HttpRequest request(http::verb::get, m_options.path, 11);
    request.set(http::field::host, m_options.host);
    request.set(names.requestId, id);
    request.set(names.timeoutMs, std::to_string(timeout.count()));
    const auto sentAt = Clock::now();
    const auto response = co_await m_client.exchange(m_options.ingress, std::move(request), sentAt + timeout);
    const std::string target(response ? (*response)[names.originMarker] : boost::beast::string_view());
    co_return fmt::format("called {} {} {} {} {} {} {} {} {}",
        id,
        m_options.path,
        timeout.count(),
        std::chrono::duration_cast<std::chrono::microseconds>(sentAt.time_since_epoch()).count(),
        endOf(response, Clock::now() >= sentAt + timeout),
        outcomeOf(response, id, names.requestId),
        response ? static_cast<int>(response->result_int()) : 0,
        response ? response->body().size() : 0,
        target.empty() ? "-" : target);
}

}
