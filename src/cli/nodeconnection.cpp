#include "cli/nodeconnection.h"

#include "adapters/http/blockinghttpclient.h"
#include "adapters/rpc/rpcclient.h"
#include "adapters/rpc/rpcserver.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>

namespace Galenahill {

namespace {

constexpr Milliseconds CallTimeout{30000};

}

NodeConnection::NodeConnection(Endpoint node)
    : m_node(std::move(node))
{
}

Result<nlohmann::json> NodeConnection::call(const std::string &method, const nlohmann::json &params)
{
    std::optional<Error> transportError;
    RpcClient client([&](const std::string &text) {
        HttpRequest request(http::verb::post, "/rpc", 11);
        request.set(http::field::host, toString(m_node));
        request.set(http::field::content_type, "application/json");
        request.body() = text;
        auto response = blockingExchange(m_node, std::move(request), CallTimeout);
        if (!response) {
            transportError = response.error();
            throw std::runtime_error(response.error().message);
        }
        return response->body();
    });
    const auto response = client.call(method, params.dump());
    if (transportError) {
        return failure(transportError->kind, fmt::format("node {}; check --node, or use another node", transportError->message));
    }
    if (!response.ok) {
        return failure(rpcErrorKind(response.errorCode), response.errorMessage);
    }
    return nlohmann::json::parse(response.result);
}

}
