#pragma once

#include "adapters/http/httpmessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace Galenahill {

// Why a request can't be taken. Its connection is closed after the answer,
// since where the next request begins is no longer certain.
struct RequestFault
{
    http::status status = http::status::bad_request;
    std::string message;
};

// Length of the header block that the text begins with, its empty line
// included; 0 while it is incomplete.
std::size_t headerLength(std::string_view text);

// Looks at the bytes of a header block, whole or not, for shapes that one
// HTTP parser takes for another line than the next one does: a bare LF, a
// folded line, a NUL. Beast accepts some of them. Were they passed on, the
// target might see a second request that no limit or route has been applied
// to (request smuggling). Refusing them costs no caller that follows RFC 7230.
std::optional<RequestFault> checkHeaderBytes(std::string_view header);

// Looks at what is said about the body's length, the host and the target.
// The target is brought into origin form.
std::optional<RequestFault> checkHeader(http::request_header<> &header);

}
