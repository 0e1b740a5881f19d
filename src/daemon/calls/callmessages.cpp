#include "daemon/calls/callmessages.h"

#include "core/calls/callheaders.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>
#include <fmt/format.h>
#include <string_view>
#include <vector>

namespace Galenahill {

namespace {

// Seconds after which a caller should check a call that may have run.
constexpr const char *UnknownRetryAfter = "1";
constexpr std::size_t TermsFields = 8;
// The last parts may be missing: the digest and the time waited before, which older nodes do not send, and the mark
// of a retry.
constexpr std::size_t MinTermsFields = 5;
constexpr const char *NoWait = "no-wait";
constexpr const char *NestedCall = "inner";
constexpr const char *Retry = "repeat";
constexpr const char *InternalPrefix = "Galenahill-";

// Parses a number that makes up the whole text.
template <typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number value = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    const bool whole = !text.empty() && parsed.ec == std::errc() && parsed.ptr == end;
    return whole ? std::optional(value) : std::nullopt;
}

// Header fields that the sender lists as hop-by-hop in Connection.
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

void stripFields(http::fields &fields, const CallHeaderNames &headerNames)
{
    const auto endToEnd = [&headerNames](boost::beast::string_view name) {
        for (const auto &kept : {headerNames.requestId, headerNames.originMarker, headerNames.targetId}) {
            if (!kept.empty() && boost::algorithm::iequals(name, kept)) {
                return true;
            }
        }
        return false;
    };
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
        const bool internal = boost::algorithm::istarts_with(field->name_string(), InternalPrefix) && !endToEnd(field->name_string());
        field = internal ? fields.erase(field) : std::next(field);
    }
}

std::string_view pathOf(const HttpRequest &request)
{
    const std::string_view target(request.target().data(), request.target().size());
    return target.substr(0, target.find('?'));
}

std::string_view hostOf(const HttpRequest &request)
{
    const auto field = request[http::field::host];
    const std::string_view host(field.data(), field.size());
    return host.substr(0, host.find(':'));
}

RequestDigest contentDigest(const HttpRequest &request, const BodySource *streamedBody)
{
    const auto method = request.method_string();
    const auto target = request.target();
    return digestOf({.method = {method.data(), method.size()},
        .host = hostOf(request),
        .target = {target.data(), target.size()},
        .body = request.body(),
        .streamedLength = streamedBody == nullptr ? std::nullopt : std::optional(streamedBody->length().value_or(0))});
}

HttpResponse notRunResponse(http::status status, const std::string &kind, const std::string &message, Milliseconds retryAfter)
{
    auto response = makeErrorResponse(status, kind, message);
    response.set(CallHeaders::Outcome, CallHeaders::NotRun);
    response.set(http::field::retry_after, fmt::format("{:.3g}", static_cast<double>(retryAfter.count()) / 1000));
    return response;
}

HttpResponse outcomeUnknownResponse(const std::string &message, http::status status)
{
    auto response = makeErrorResponse(status, "outcome-unknown", message);
    response.set(CallHeaders::Outcome, CallHeaders::OutcomeUnknown);
    response.set(http::field::retry_after, UnknownRetryAfter);
    return response;
}

HttpResponse unauthorizedResponse(CallerIdentity::Status status)
{
    auto response = notRunResponse(http::status::unauthorized, "unauthorized", rejectionText(status));
    response.erase(http::field::retry_after);
    response.set(http::field::www_authenticate, "Bearer");
    return response;
}

std::optional<IdentifiedCustomer> customerHeader(const HttpRequest &request)
{
    const auto field = request[CallHeaders::Customer];
    return parseCustomer({field.data(), field.size()});
}

std::optional<std::int64_t> timeoutHeader(const HttpRequest &request, const std::string &name)
{
    const auto text = request[name];
    return parseNumber<std::int64_t>({text.data(), text.size()});
}

CallTerms termsHeader(const HttpRequest &request)
{
    const auto field = request[CallHeaders::Terms];
    std::string_view text(field.data(), field.size());
    std::array<std::string_view, TermsFields> parts;
    std::size_t count = 0;
    for (; count < TermsFields && !text.empty(); ++count) {
        const auto end = std::min(text.find(';'), text.size());
        parts[count] = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    CallTerms terms;
    if (count < MinTermsFields) {
        return terms;
    }
    terms.priority = parseNumber<std::uint32_t>(parts[0]).value_or(0);
    if (const auto left = parseNumber<std::int64_t>(parts[1])) {
        terms.objectiveLeft = Milliseconds(*left);
    }
    terms.mayWait = parts[2] != NoWait;
    terms.hasRunningParent = parts[3] == NestedCall;
    if (const auto left = parseNumber<std::int64_t>(parts[4])) {
        terms.waitLeft = Milliseconds(*left);
    }
    terms.isRetry = parts[5] == Retry;
    terms.waitedBefore = Milliseconds(std::max<std::int64_t>(parseNumber<std::int64_t>(parts[6]).value_or(0), 0));
    terms.digest = parseDigest(parts[7]);
    return terms;
}

std::string formatTerms(const CallTerms &terms)
{
    const auto text = [](const std::optional<Milliseconds> &time) { return time ? std::to_string(time->count()) : std::string(); };
    const auto waitedBefore = terms.waitedBefore.count() > 0 ? std::to_string(terms.waitedBefore.count()) : std::string();
    return fmt::format("{};{};{};{};{};{}{}{}{}",
        terms.priority,
        text(terms.objectiveLeft),
        terms.mayWait ? "wait" : NoWait,
        terms.hasRunningParent ? NestedCall : "",
        text(terms.waitLeft),
        terms.isRetry ? Retry : "",
        !waitedBefore.empty() || terms.digest ? ";" : "",
        waitedBefore,
        terms.digest ? fmt::format(";{}", toString(*terms.digest)) : std::string());
}

std::optional<Milliseconds> waitHeader(const HttpResponse &response)
{
    const auto field = response[CallHeaders::WaitMs];
    const auto wait = parseNumber<std::int64_t>({field.data(), field.size()});
    return wait ? std::optional(Milliseconds(*wait)) : std::nullopt;
}

StatedEnds targetEndsHeader(const HttpResponse &response)
{
    const auto field = response[CallHeaders::TargetEnds];
    const std::string_view text(field.data(), field.size());
    const auto separator = std::min(text.find(';'), text.size());
    return {.ends = parseNumber<std::size_t>(text.substr(0, separator)).value_or(0),
        .isQuarantined = separator < text.size() && text.substr(separator + 1) == CallHeaders::Quarantined};
}

std::string formatTargetEnds(const StatedEnds &stated)
{
    return fmt::format("{}{}", stated.ends, stated.isQuarantined ? std::string(";") + CallHeaders::Quarantined : std::string());
}

Milliseconds queuedHeader(const HttpResponse &response)
{
    const auto field = response[CallHeaders::QueuedMs];
    return Milliseconds(std::max<std::int64_t>(parseNumber<std::int64_t>({field.data(), field.size()}).value_or(0), 0));
}

std::vector<ServiceName> calledServicesHeader(const HttpResponse &response)
{
    std::vector<ServiceName> services;
    for (const auto name : http::token_list(response[CallHeaders::Calls])) {
        services.emplace_back(std::string(name));
    }
    return services;
}

std::string formatCalledServices(const std::vector<ServiceName> &services)
{
    std::vector<std::string> names;
    std::transform(services.begin(), services.end(), std::back_inserter(names), [](const auto &service) { return service.value(); });
    return fmt::format("{}", fmt::join(names, ","));
}

std::optional<TargetLoad> loadHeader(const HttpResponse &response)
{
    const auto field = response[CallHeaders::Load];
    const std::string_view text(field.data(), field.size());
    const auto slash = text.find('/');
    if (slash == std::string_view::npos) {
        return std::nullopt;
    }
    const auto calls = parseNumber<std::uint32_t>(text.substr(0, slash));
    const auto limit = parseNumber<std::uint32_t>(text.substr(slash + 1));
    return calls && limit ? std::optional(TargetLoad{*calls, *limit}) : std::nullopt;
}

std::string formatLoad(TargetLoad load)
{
    return fmt::format("{}/{}", load.calls, load.limit);
}

bool isNotRunByTarget(const HttpResponse &response)
{
    return response[CallHeaders::Outcome] == CallHeaders::NotRunByTarget;
}

bool isNotRun(const HttpResponse &response)
{
    return response[CallHeaders::Outcome] == CallHeaders::NotRun || isNotRunByTarget(response);
}

bool isOutcomeUnknown(const HttpResponse &response)
{
    return response[CallHeaders::Outcome] == CallHeaders::OutcomeUnknown;
}

}
