#include "adapters/http/httpmessage.h"

#include <nlohmann/json.hpp>

namespace Galenahill {

HttpResponse makeResponse(http::status status, const std::string &contentType, std::string body)
{
    HttpResponse response(status, 11);
    response.set(http::field::content_type, contentType);
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

HttpResponse makeErrorResponse(http::status status, const std::string &kind, const std::string &message)
{
    const nlohmann::json body = {{"error", kind}, {"message", message}};
    return makeResponse(status, "application/json", body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
}

}
