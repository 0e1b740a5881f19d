#include "adapters/http/responsecheck.h"

#include <boost/beast/http/error.hpp>

namespace Galenahill {

namespace {

constexpr unsigned FirstStatus = 100;
constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned StatusEnd = 600;
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

}
