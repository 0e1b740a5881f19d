#include "adapters/rpc/rpcserver.h"

#include <jsoncpp/json/json.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/common/specification.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>
#include <sstream>

namespace Galenahill {

namespace {

constexpr int FirstErrorCode = -32050;

const std::string ParseError = R"({"error":{"code":-32700,"message":"the request doesn't parse; send one JSON-RPC 2.0 object"},"id":null,"jsonrpc":"2.0"})";

std::string toText(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

Json::Value fromText(const std::string &text)
{
    Json::Value value;
    std::istringstream stream(text);
    std::string errors;
    Json::parseFromStream(Json::CharReaderBuilder(), stream, &value, &errors);
    return value;
}

}

class RpcServer::Private : public jsonrpc::IProcedureInvokationHandler
{
public:
    explicit Private(std::map<std::string, Method> given)
        : methods(std::move(given))
        , protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this))
    {
        for (const auto &[name, method] : methods) {
            protocol->AddProcedure(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
        }
    }

    void HandleMethodCall(jsonrpc::Procedure &procedure, const Json::Value &input, Json::Value &output) override // NOLINT(readability-identifier-naming)
    {
        const auto result = methods.at(procedure.GetProcedureName())(toText(input));
        if (!result) {
            throw jsonrpc::JsonRpcException(rpcErrorCode(result.error().kind), result.error().message);
        }
        output = fromText(*result);
    }

    void HandleNotificationCall(jsonrpc::Procedure & /*procedure*/, const Json::Value & /*input*/) override // NOLINT(readability-identifier-naming)
    {
    }

    std::map<std::string, Method> methods;
    std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
};

RpcServer::RpcServer(std::map<std::string, Method> methods)
    : d(std::make_unique<Private>(std::move(methods)))
{
}

RpcServer::~RpcServer() = default;

std::string RpcServer::handle(const std::string &request)
{
    // jsoncpp throws on text that is nested too deeply, and libjsonrpccpp doesn't catch that. The
    // caller would get no response, and the exception would end the connection's handler.
    try {
        std::string response;
        d->protocol->HandleRequest(request, response);
        return response;
    } catch (const std::exception &) {
        return ParseError;
    }
}

int rpcErrorCode(ErrorKind kind)
{
    return FirstErrorCode - static_cast<int>(kind);
}

ErrorKind rpcErrorKind(int code)
{
    const int index = FirstErrorCode - code;
    const bool known = index >= 0 && index <= static_cast<int>(ErrorKind::Corrupt);
    return known ? static_cast<ErrorKind>(index) : ErrorKind::Unavailable;
}

}
