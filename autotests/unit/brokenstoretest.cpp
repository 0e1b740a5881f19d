// Broken responses of the store, as the store's client receives them.

#include "brokenresponseserver.h"
#include "httptest.h"
#include "platform/objectstore.h"
#include "platform/storenames.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace Galenahill;
using Galenahill::Test::BrokenResponse;
using Galenahill::Test::BrokenResponseServer;
using End = Galenahill::Test::BrokenResponse::End;
namespace Names = Platform::StoreNames;

namespace {

const Endpoint AnyPort{testAddress(47), 0};
constexpr Milliseconds CallTimeout{1000};

// Page of a list with one object whose content has that many bytes.
std::string page(std::size_t bytes, bool more)
{
    return fmt::format(R"({{"{}":[{{"{}":{{"{}":"a","{}":1}},"{}":{{"x":"{}"}}}}],"{}":{},"{}":1}})",
        Names::Items,
        Names::Metadata,
        Names::Name,
        Names::ObjectRevision,
        Names::Content,
        std::string(bytes, 'x'),
        Names::HasMore,
        more,
        Names::StoreRevision);
}

template <typename Value>
Result<Value> run(const Endpoint &endpoint, const std::function<asio::awaitable<Result<Value>>(DocumentStore &)> &call)
{
    asio::io_context context(1);
    HttpClient client(context, {});
    Platform::ObjectStoreClient store(client, endpoint, CallTimeout);
    std::optional<Result<Value>> result;
    asio::co_spawn(
        context, [&]() -> asio::awaitable<void> { result = co_await call(store); }, asio::detached);
    context.run();
    return std::move(*result);
}

}

// Guards against a broken response that is accepted as the state of the store, or as the result of a write.
BOOST_AUTO_TEST_CASE(BrokenResponsesAreErrors)
{
    const auto sound = page(10, false);
    const auto length = fmt::format("Content-Length: {}\r\n\r\n", sound.size()) + sound;
    for (const auto &response : {BrokenResponse{.bytes = "HTTP/1.1 000 OK\r\n" + length},
             BrokenResponse{.bytes = "HTTP/1.1 999 OK\r\n" + length},
             BrokenResponse{.bytes = "HTTP/1.1 200 OK\r\nX Name: v\r\n" + length},
             BrokenResponse{.bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n" + length},
             BrokenResponse{.bytes = "HTTP/1.1 200 OK\r\n\r\n" + sound, .end = End::Reset, .resetDelay = Milliseconds(20)}}) {
        const BrokenResponseServer server(AnyPort, response);
        const auto list = run<DocumentSet>(server.endpoint(), [](DocumentStore &store) { return store.list("config"); });
        const auto watch = run<DocumentSet>(server.endpoint(), [](DocumentStore &store) { return store.watch("config", ObjectVersion(1), CallTimeout); });
        const auto read = run<StoredDocument>(server.endpoint(), [](DocumentStore &store) { return store.read("config", "main"); });
        const auto write = run<ObjectVersion>(server.endpoint(), [](DocumentStore &store) { return store.write("config", "main", "{}", ObjectVersion(1)); });
        BOOST_TEST((!list && list.error().kind == ErrorKind::OutcomeUnknown), response.bytes);
        BOOST_TEST((!watch && watch.error().kind == ErrorKind::OutcomeUnknown), response.bytes);
        BOOST_TEST((!read && read.error().kind == ErrorKind::OutcomeUnknown), response.bytes);
        BOOST_TEST((!write && write.error().kind == ErrorKind::OutcomeUnknown), response.bytes);
    }
}

// Guards against a list that is kept in memory although it has no end.
BOOST_AUTO_TEST_CASE(ListWithoutEndIsAnError)
{
    constexpr std::size_t PageBytes = 4 * 1024 * 1024;
    constexpr std::size_t MostPages = 20;
    const auto body = page(PageBytes, true);
    const BrokenResponseServer server(AnyPort, {.bytes = fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body)});
    const auto list = run<DocumentSet>(server.endpoint(), [](DocumentStore &store) { return store.list("contacts"); });
    BOOST_TEST((!list && list.error().kind == ErrorKind::OutcomeUnknown));
    BOOST_TEST(server.requests() < MostPages);
}
