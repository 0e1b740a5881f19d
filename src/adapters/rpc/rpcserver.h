#pragma once

#include "common/error.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Galenahill {

// Answers JSON-RPC 2.0 requests through libjsonrpccpp. Transport is the
// caller's: text in, text out.
class RpcServer
{
public:
    // Takes the params object and gives the result, both as JSON text.
    using Method = std::function<Result<std::string>(const std::string &params)>;

    explicit RpcServer(std::map<std::string, Method> methods);
    ~RpcServer();

    // The answer to one request. A method's failure becomes a JSON-RPC error
    // whose code is rpcErrorCode of its kind. Usable from several threads.
    std::string handle(const std::string &request);

private:
    class Private;
    std::unique_ptr<Private> d;
};

// The JSON-RPC error code of a kind, and back. Unknown codes give
// Unavailable.
int rpcErrorCode(ErrorKind kind);
ErrorKind rpcErrorKind(int code);

}
