#include "daemon/callmessages.h"

#include "core/calls/callheaders.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>
#include <fmt/format.h>
#include <string_view>
#include <vector>

namespace Galenahill {

namespace {

constexpr const char *RetryAfterSeconds = "1";
constexpr const char *InternalPrefix = "Galenahill-";

// The number that the text spells, if it spells nothing else.
template <typename Number>
std::optional<Number> wholeNumber(std::string_view text)
{
    Number value = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    const bool whole = !text.empty() && parsed.ec == std::errc() && parsed.ptr == end;
    return whole ? std::optional(value) : std::nullopt;
}

// The fields that the sender names as meant for the next hop only.
std::vector<std::string> listedInConnection(const http::fields &fields)
{
    std::vector<std::string> names;
    const auto [begin, end] = fields.equal_range(http::field::connection);
    for (auto field = begin; field != end; ++field) {
        for (const auto name : http::token_list(field->value())) {
            names.emplace_back(name);
        }
    }
    return names;
}

}

void stripFields(http::fields &fields)
{
    for (const auto &name : listedInConnection(fields)) {
        fields.erase(name);
    }
    for (const auto field : {http::field::connection,
             http::field::keep_alive,
             http::field::te,
             http::field::trailer,
             http::field::transfer_encoding,
             http::field::upgrade,
             http::field::proxy_connection}) {
        fields.erase(field);
    }
    for (auto field = fields.begin(); field != fields.end();) {
        const bool internal = boost::algorithm::istarts_with(field->name_string(), InternalPrefix);
        field = internal ? fields.erase(field) : std::next(field);
    }
}

HttpResponse notRunResponse(http::status status, const std::string &kind, const std::string &message)
{
    auto response = makeErrorResponse(status, kind, message);
    response.set(CallHeaders::Outcome, CallHeaders::NotRun);
    response.set(http::field::retry_after, RetryAfterSeconds);
    return response;
}

HttpResponse outcomeUnknownResponse(const std::string &message)
{
    auto response = makeErrorResponse(http::status::gateway_timeout, "outcome-unknown", message);
    response.set(CallHeaders::Outcome, CallHeaders::OutcomeUnknown);
    response.set(http::field::retry_after, RetryAfterSeconds);
    return response;
}

std::optional<std::int64_t> timeoutHeader(const HttpRequest &request)
{
    const auto text = request[CallHeaders::TimeoutMs];
    return wholeNumber<std::int64_t>({text.data(), text.size()});
}

std::optional<TargetLoad> loadHeader(const HttpResponse &response)
{
    const auto field = response[CallHeaders::Load];
    const std::string_view text(field.data(), field.size());
    const auto slash = text.find('/');
    if (slash == std::string_view::npos) {
        return std::nullopt;
    }
    const auto calls = wholeNumber<std::uint32_t>(text.substr(0, slash));
    const auto limit = wholeNumber<std::uint32_t>(text.substr(slash + 1));
    return calls && limit ? std::optional(TargetLoad{*calls, *limit}) : std::nullopt;
}

std::string formatLoad(TargetLoad load)
{
    return fmt::format("{}/{}", load.calls, load.limit);
}

bool saysNotRun(const HttpResponse &response)
{
    return response[CallHeaders::Outcome] == CallHeaders::NotRun;
}

bool saysOutcomeUnknown(const HttpResponse &response)
{
    return response[CallHeaders::Outcome] == CallHeaders::OutcomeUnknown;
}

}
