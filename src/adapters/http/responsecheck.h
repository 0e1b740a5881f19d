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

}
