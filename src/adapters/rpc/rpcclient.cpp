#include "adapters/rpc/rpcclient.h"

#include <jsoncpp/json/json.h>
#include <jsonrpccpp/client.h>
#include <sstream>

namespace Galenahill {

namespace {

// Text that doesn't parse leaves the value null.
Json::Value fromText(const std::string &text)
{
    Json::Value value;
    std::istringstream stream(text);
    std::string errors;
    Json::parseFromStream(Json::CharReaderBuilder(), stream, &value, &errors);
    return value;
}

}

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
            // jsoncpp throws on text that is nested too deeply, and the library's client would end the process.
            fromText(result);
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
    const auto input = fromText(params);
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
