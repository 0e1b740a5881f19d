#include "adapters/http/responsecheck.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/http/error.hpp>

namespace Galenahill {

namespace {

constexpr unsigned FirstStatus = 100;
constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned StatusEnd = 600;
constexpr unsigned MinChunkedVersion = 11;
constexpr auto SwitchingProtocols = static_cast<unsigned>(http::status::switching_protocols);

}

// http::status has no value for codes that the library doesn't list, so comparisons use the number.
bool isInterim(const http::response_header<> &header)
{
    return header.result_int() < FirstFinalStatus;
}

ErrorCode checkStatus(const http::response_header<> &header)
{
    const auto status = header.result_int();
    const bool isValid = status >= FirstStatus && status < StatusEnd && status != SwitchingProtocols;
    return isValid ? ErrorCode() : http::error::bad_status;
}

ErrorCode checkFraming(const http::response_header<> &header, bool isResponseToHead)
{
    const auto status = header.result();
    const bool hasNoBody = isResponseToHead || isInterim(header) || status == http::status::no_content || status == http::status::not_modified;
    const auto codings = header.count(http::field::transfer_encoding);
    if (hasNoBody || codings == 0) {
        return {};
    }
    const bool isChunked = codings == 1 && boost::algorithm::iequals(header[http::field::transfer_encoding], "chunked");
    const bool isValid = isChunked && header.version() >= MinChunkedVersion && header.count(http::field::content_length) == 0;
    return isValid ? ErrorCode() : http::error::bad_transfer_encoding;
}

void mergeRepeatedLengths(http::response_header<> &header)
{
    const std::string lengths(header[http::field::content_length]);
    if (header.count(http::field::content_length) > 1 || lengths.find(',') != std::string::npos) {
        header.set(http::field::content_length, lengths.substr(0, lengths.find_first_of(", \t")));
    }
}

}
