#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>

namespace Galenahill {

namespace http = boost::beast::http;
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

// Makes a response with a body of that content type.
HttpResponse makeResponse(http::status status, const std::string &contentType, std::string body);

// Makes a JSON error response with a kind for programs and a message for people.
HttpResponse makeErrorResponse(http::status status, const std::string &kind, const std::string &message);

}
