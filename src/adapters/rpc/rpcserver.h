#pragma once

#include "common/error.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Galenahill {

// A JSON-RPC 2.0 server based on libjsonrpccpp. The caller provides the transport and passes the
// text of requests and responses.
class RpcServer
{
public:
    // Receives the params object and returns the result, both as JSON text.
    using Method = std::function<Result<std::string>(const std::string &params)>;

    explicit RpcServer(std::map<std::string, Method> methods);
    ~RpcServer();

    // Returns the response to one request. An error of the method becomes a JSON-RPC error with the
    // code rpcErrorCode(kind). Usable from several threads.
    std::string handle(const std::string &request);

private:
    class Private;
    std::unique_ptr<Private> d;
};

// Convert between error kinds and JSON-RPC error codes. Unknown codes give Unavailable.
int rpcErrorCode(ErrorKind kind);
ErrorKind rpcErrorKind(int code);

}
