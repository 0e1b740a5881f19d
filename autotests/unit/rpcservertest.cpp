#include "adapters/rpc/rpcserver.h"
#include "adapters/rpc/rpcclient.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace Galenahill;

namespace {

const std::string Request = R"({"jsonrpc":"2.0","id":1,"method":"echo","params":{"text":"a"}})";

RpcServer server()
{
    return RpcServer({{"echo", [](const std::string &params) -> Result<std::string> { return params; }},
        {"refuse", [](const std::string &) -> Result<std::string> { return failure(ErrorKind::Conflict, "taken"); }}});
}

}

BOOST_AUTO_TEST_CASE(ReturnsResultsAndErrorKinds)
{
    auto rpc = server();
    BOOST_TEST(rpc.handle(Request).find(R"("result":{"text":"a"})") != std::string::npos);
    auto failingRequest = Request;
    failingRequest.replace(failingRequest.find("echo"), 4, "refuse");
    BOOST_TEST(rpc.handle(failingRequest).find(std::to_string(rpcErrorCode(ErrorKind::Conflict))) != std::string::npos);
    BOOST_TEST((rpcErrorKind(rpcErrorCode(ErrorKind::Corrupt)) == ErrorKind::Corrupt));
    BOOST_TEST((rpcErrorKind(-32601) == ErrorKind::Unavailable));
}

// Anything may be posted to the control port. Invalid input must get an error response, and must not
// crash the node by an exception or deep recursion.
BOOST_AUTO_TEST_CASE(SurvivesDamagedRequests)
{
    auto rpc = server();
    for (const std::string text : {"", "{", "null", "7", "[]", "{\"jsonrpc\":\"2.0\"}", "\xff\xfe", "{\"method\":[]}"}) {
        BOOST_TEST(!rpc.handle(text).empty(), text);
    }
    for (const std::size_t depth : {500U, 2000U, 100000U}) {
        BOOST_TEST(!rpc.handle(std::string(depth, '[')).empty());
        BOOST_TEST(!rpc.handle(R"({"jsonrpc":"2.0","id":1,"method":"echo","params":)" + std::string(depth, '[') + std::string(depth, ']') + "}").empty());
    }
    std::mt19937 random(1);
    for (int i = 0; i < 3000; ++i) {
        auto text = Request;
        for (auto changes = 1 + random() % 4; changes > 0; --changes) {
            text[random() % text.size()] = static_cast<char>(random() % 256);
        }
        BOOST_TEST(!rpc.handle(text).empty(), text);
    }
}

// Guards against a response that ends the operators' client.
BOOST_AUTO_TEST_CASE(ClientReportsDamagedResponses)
{
    constexpr std::size_t Depth = 100000;
    for (const auto &result : {std::string(Depth, '['), std::string(Depth, '[') + std::string(Depth, ']'), std::string("1e999"), std::string("{")}) {
        const auto response = R"({"jsonrpc":"2.0","id":1,"result":)" + result + "}";
        RpcClient client([&](const std::string &) { return response; });
        BOOST_TEST(!client.call("echo", "{}").ok, result.substr(0, 20));
        RpcClient damaged([&](const std::string &) { return result; });
        BOOST_TEST(!damaged.call("echo", "{}").ok, result.substr(0, 20));
    }
}
