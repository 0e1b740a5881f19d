#pragma once

#include <functional>
#include <memory>
#include <string>

namespace Galenahill {

// The response of a remote method. Has plain types only, since this class is compiled as C++14:
// libjsonrpccpp's client headers have exception specifications that later standards reject.
struct RpcResponse
{
    bool ok = false;
    // The result as JSON text, if ok.
    std::string result;
    // The JSON-RPC error code and message otherwise.
    int errorCode = 0;
    std::string errorMessage;
};

// A JSON-RPC 2.0 client based on libjsonrpccpp.
class RpcClient
{
public:
    // Sends the text of one request to the server and returns the text of its response; throws
    // std::runtime_error with the reason if that fails.
    using Transport = std::function<std::string(const std::string &request)>;

    explicit RpcClient(Transport transport);
    ~RpcClient();

    // Calls the method; `params` is the text of a JSON object.
    RpcResponse call(const std::string &method, const std::string &params);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
