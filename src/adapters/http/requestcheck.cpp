#include "adapters/http/requestcheck.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>

namespace Galenahill {

namespace {

constexpr std::string_view HeaderEnd = "\r\n\r\n";
constexpr std::string_view HttpScheme = "http://";

RequestError badRequest(std::string message)
{
    return {http::status::bad_request, std::move(message)};
}

bool allDigits(boost::beast::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char character) { return character >= '0' && character <= '9'; });
}

// Allows either one Content-Length of digits only, or one Transfer-Encoding that is "chunked".
// Beast accepts repeated equal lengths and lists of them, and treats other codings as an absent
// body.
std::optional<RequestError> checkLength(const http::request_header<> &header)
{
    const auto lengths = header.count(http::field::content_length);
    const auto codings = header.count(http::field::transfer_encoding);
    if (lengths + codings > 1) {
        return badRequest("more than one Content-Length or Transfer-Encoding field; send exactly one of them");
    }
    if (lengths == 1 && !allDigits(header[http::field::content_length])) {
        return badRequest("Content-Length is not a number; send digits only");
    }
    if (codings == 1 && (header.version() < 11 || !boost::algorithm::iequals(header[http::field::transfer_encoding], "chunked"))) {
        return RequestError{http::status::not_implemented, "unsupported Transfer-Encoding; only chunked is supported, in HTTP/1.1"};
    }
    return std::nullopt;
}

std::optional<RequestError> checkHost(const http::request_header<> &header)
{
    const auto hosts = header.count(http::field::host);
    if (hosts > 1 || (hosts == 0 && header.version() >= 11)) {
        return badRequest("Host field missing or repeated; send exactly one");
    }
    return std::nullopt;
}

// The host of a target in absolute form takes precedence over the Host field (RFC 7230, 5.4).
std::optional<RequestError> normalizeTarget(http::request_header<> &header)
{
    const std::string target(header.target());
    if (boost::algorithm::istarts_with(target, HttpScheme)) {
        const auto path = target.find_first_of("/?", HttpScheme.size());
        header.set(http::field::host, target.substr(HttpScheme.size(), path - HttpScheme.size()));
        const auto rest = path == std::string::npos ? std::string() : target.substr(path);
        header.target(rest.empty() || rest.front() != '/' ? "/" + rest : rest);
        return std::nullopt;
    }
    const bool asterisk = target == "*" && header.method() == http::verb::options;
    if (!asterisk && target.front() != '/') {
        return badRequest("the request target is not a path; send one that begins with /");
    }
    return std::nullopt;
}

}

std::size_t headerLength(std::string_view text)
{
    const auto end = text.find(HeaderEnd);
    return end == std::string_view::npos ? 0 : end + HeaderEnd.size();
}

std::optional<RequestError> checkHeaderBytes(std::string_view header)
{
    if (header.find('\0') != std::string_view::npos) {
        return badRequest("the request header contains a NUL byte");
    }
    for (auto feed = header.find('\n'); feed != std::string_view::npos; feed = header.find('\n', feed + 1)) {
        if (feed == 0 || header[feed - 1] != '\r') {
            return badRequest("a header line ends with LF only; end each line with CR LF");
        }
        const bool folded = feed + 1 < header.size() && (header[feed + 1] == ' ' || header[feed + 1] == '\t');
        if (folded) {
            return badRequest("a header line is folded; send each field on one line");
        }
    }
    return std::nullopt;
}

std::optional<RequestError> checkHeader(http::request_header<> &header)
{
    if (auto error = checkLength(header)) {
        return error;
    }
    if (auto error = checkHost(header)) {
        return error;
    }
    return normalizeTarget(header);
}

}
