#pragma once

#include "adapters/http/httpmessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace Galenahill {

// Why the server rejects a request before its handler sees it. The connection is closed after
// the error response, since the start of the next request is no longer certain.
struct RequestError
{
    http::status status = http::status::bad_request;
    std::string message;
};

// Length of the header block at the start of the text, including its final empty line; 0 if it
// is incomplete.
std::size_t headerLength(std::string_view text);

// Checks the bytes of a complete or partial header block for forms that HTTP parsers interpret
// differently: a bare LF, a folded line, a NUL. Beast accepts some of them. If they were
// forwarded, the target might see a second request that no route or limit has been applied to
// (request smuggling). Clients that follow RFC 7230 don't send them.
std::optional<RequestError> checkHeaderBytes(std::string_view header);

// Checks the body's length, the Host field and the request target, and converts the target to
// origin form.
std::optional<RequestError> checkHeader(http::request_header<> &header);

}
