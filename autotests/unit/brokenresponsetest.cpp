// Responses that no HTTP server should send, as HttpClient receives them.

#include "brokenresponseserver.h"
#include "httptest.h"
#include "repeatedbody.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;
using Galenahill::Test::BrokenResponse;
using Galenahill::Test::BrokenResponseServer;
using End = Galenahill::Test::BrokenResponse::End;

namespace {

const Endpoint AnyPort{testAddress(44), 0};

constexpr std::size_t UploadBytes = 32 * 1024 * 1024;
constexpr std::size_t PartialBytes = 20000;

// A client in the middle of an upload waits for room to write by then.
constexpr Milliseconds MidUpload{250};

enum class Upload {
    None,
    Buffered,
    Streamed,
    Chunked,
};

constexpr Upload Uploads[] = {Upload::Buffered, Upload::Streamed, Upload::Chunked};

// A body whose length is not stated.
class UnstatedLengthBody : public Test::RepeatedBody
{
public:
    using RepeatedBody::RepeatedBody;

    std::optional<std::uint64_t> length() const override
    {
        return std::nullopt;
    }
};

// Makes one exchange, and reads the response's body to its end; an error of either is the result.
Result<HttpResponse> exchange(const Endpoint &endpoint, Upload upload = Upload::None, http::verb method = http::verb::get, Milliseconds timeLimit = TestTimeout)
{
    asio::io_context context(1);
    HttpClient client(context, {});
    std::optional<Result<HttpResponse>> result;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            HttpRequest request(upload == Upload::None ? method : http::verb::post, "/", 11);
            request.set(http::field::host, "h");
            std::unique_ptr<BodySource> source;
            if (upload == Upload::Buffered) {
                request.body().assign(UploadBytes, 'x');
            } else if (upload == Upload::Streamed) {
                source = std::make_unique<Test::RepeatedBody>('x', UploadBytes);
            } else if (upload == Upload::Chunked) {
                source = std::make_unique<UnstatedLengthBody>('x', UploadBytes);
            }
            std::unique_ptr<BodySource> rest;
            HttpClient::ExchangeOptions options;
            options.requestBody = source.get();
            options.responseBody = &rest;
            result = co_await client.exchange(endpoint, request, Clock::now() + timeLimit, options);
            ErrorCode error;
            while (*result && rest && !rest->done() && !error) {
                error = co_await rest->read((*result)->body(), 64 * 1024);
            }
            if (error) {
                result = failure(ErrorKind::OutcomeUnknown, error.message());
            }
        },
        asio::detached);
    context.run();
    return std::move(*result);
}

std::string describe(Upload upload, Milliseconds delay)
{
    const auto *const name = upload == Upload::Buffered ? "buffered" : upload == Upload::Streamed ? "streamed" : upload == Upload::Chunked ? "chunked" : "no";
    return std::string(name) + " upload, response after " + std::to_string(delay.count()) + " ms";
}

BrokenResponse unframed(End end, Milliseconds delay, Milliseconds resetDelay = Milliseconds(0))
{
    return {.bytes = "HTTP/1.1 200 OK\r\n\r\n" + std::string(PartialBytes, 'p'), .end = end, .delay = delay, .resetDelay = resetDelay};
}

}

// Guards against a truncated response that counts as complete because a write took the error of the reset behind it.
BOOST_AUTO_TEST_CASE(ResetBehindAnUnframedResponseIsNotItsEnd)
{
    for (const auto upload : Uploads) {
        for (const auto delay : {Milliseconds(0), MidUpload}) {
            for (const auto resetDelay : {Milliseconds(0), Milliseconds(2), Milliseconds(50)}) {
                BrokenResponseServer server(AnyPort, unframed(End::Reset, delay, resetDelay));
                const auto result = exchange(server.endpoint(), upload);
                BOOST_TEST(!result.has_value(), describe(upload, delay));
            }
        }
    }
}

// The same where a read meets the reset.
BOOST_AUTO_TEST_CASE(ResetBehindAnUnframedResponseToARequestWithoutBodyIsNotItsEnd)
{
    for (const auto resetDelay : {Milliseconds(0), Milliseconds(2), Milliseconds(50)}) {
        BrokenResponseServer server(AnyPort, unframed(End::Reset, Milliseconds(0), resetDelay));
        BOOST_TEST(!exchange(server.endpoint()).has_value());
    }
}

// Guards against the loss of a whole response whose server ends its connection in order while the upload goes on.
BOOST_AUTO_TEST_CASE(CloseBehindAnUnframedResponseIsItsEnd)
{
    for (const auto upload : {Upload::None, Upload::Buffered, Upload::Streamed, Upload::Chunked}) {
        for (const auto delay : {Milliseconds(0), MidUpload}) {
            BrokenResponseServer server(AnyPort, unframed(End::Close, delay));
            const auto result = exchange(server.endpoint(), upload);
            BOOST_REQUIRE_MESSAGE(result.has_value(), describe(upload, delay));
            BOOST_TEST(result->body().size() == PartialBytes);
        }
    }
}

// The same where the connection is reset after its orderly end, as by a server that closes it with unread bytes.
BOOST_AUTO_TEST_CASE(ResetAfterTheOrderlyEndOfAnUnframedResponseKeepsIt)
{
    for (const auto upload : Uploads) {
        for (const auto delay : {Milliseconds(0), MidUpload}) {
            for (const auto resetDelay : {Milliseconds(2), Milliseconds(50)}) {
                BrokenResponseServer server(AnyPort, unframed(End::CloseThenReset, delay, resetDelay));
                const auto result = exchange(server.endpoint(), upload);
                BOOST_REQUIRE_MESSAGE(result.has_value(), describe(upload, delay));
                BOOST_TEST(result->body().size() == PartialBytes);
            }
        }
    }
}

// Guards against the loss of a response of stated length because the server resets the connection behind it.
BOOST_AUTO_TEST_CASE(ResetBehindACompleteFramedResponseKeepsIt)
{
    for (const auto upload : Uploads) {
        auto response = unframed(End::Reset, MidUpload, Milliseconds(50));
        response.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
        BrokenResponseServer server(AnyPort, response);
        const auto result = exchange(server.endpoint(), upload);
        BOOST_REQUIRE_MESSAGE(result.has_value(), describe(upload, MidUpload));
        BOOST_TEST(result->body() == "whole");
    }
}
