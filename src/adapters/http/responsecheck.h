#pragma once

#include "adapters/http/asio.h"
#include "adapters/http/httpmessage.h"

namespace Galenahill {

// Whether a response is followed by the final one (RFC 9110, 15.2).
bool isInterim(const http::response_header<> &header);

// Checks the status code of a response: one outside 100 to 599 is invalid (RFC 9110, 15), and so is a switch to another
// protocol, which HttpClient never asks for. Beast accepts any three digits.
//
// Errors: bad_status.
ErrorCode checkStatus(const http::response_header<> &header);

// Checks the fields that say where the body ends. The only transfer coding that can be decoded is "chunked", in HTTP/1.1 and
// without a Content-Length; Beast reads a body with other codings as if it had none (RFC 9112, 6.1 and 6.3).
//
// Errors: bad_transfer_encoding.
ErrorCode checkFraming(const http::response_header<> &header, bool isResponseToHead);

// Replaces lengths that repeat the same number by one (RFC 9112, 6.3). Beast rejects different ones, and ignores the repetition.
void mergeRepeatedLengths(http::response_header<> &header);

}
