#include "adapters/rpc/rpcclient.h"

#include <jsoncpp/json/json.h>
#include <jsonrpccpp/client.h>
#include <sstream>

namespace Galenahill {

class RpcClient::Private : public jsonrpc::IClientConnector
{
public:
    explicit Private(Transport given)
        : transport(std::move(given))
        , client(*this, jsonrpc::JSONRPC_CLIENT_V2)
    {
    }

    void SendRPCMessage(const std::string &message, std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        try {
            result = transport(message);
        } catch (const std::exception &error) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, error.what());
        }
    }

    Transport transport;
    jsonrpc::Client client;
};

RpcClient::RpcClient(Transport transport)
    : d(new Private(std::move(transport)))
{
}

RpcClient::~RpcClient() = default;

RpcResponse RpcClient::call(const std::string &method, const std::string &params)
{
    RpcResponse response;
    Json::Value input;
    std::istringstream stream(params);
    std::string errors;
    Json::parseFromStream(Json::CharReaderBuilder(), stream, &input, &errors);
    try {
        const auto result = d->client.CallMethod(method, input);
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        response.result = Json::writeString(builder, result);
        response.ok = true;
    } catch (const jsonrpc::JsonRpcException &error) {
        response.errorCode = error.GetCode();
        response.errorMessage = error.GetMessage();
    }
    return response;
}

}
