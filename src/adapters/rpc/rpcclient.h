#pragma once

#include <functional>
#include <memory>
#include <string>

namespace Galenahill {

// What came back from a remote method. Plain types, since this class is
// compiled at C++14: libjsonrpccpp's client headers carry exception
// specifications that later standards refuse.
struct RpcAnswer
{
    bool ok = false;
    // The result as JSON text, if ok.
    std::string result;
    // A JSON-RPC error code and message otherwise.
    int errorCode = 0;
    std::string errorMessage;
};

// A JSON-RPC 2.0 client through libjsonrpccpp.
class RpcClient
{
public:
    // Carries one request's text to the server and gives the answer's text;
    // throws std::runtime_error with the reason if that fails.
    using Transport = std::function<std::string(const std::string &request)>;

    explicit RpcClient(Transport transport);
    ~RpcClient();

    // Calls the method with a JSON object as params.
    RpcAnswer call(const std::string &method, const std::string &params);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
