// Responses that no HTTP server should send, as HttpClient receives them.

#include "brokenresponseserver.h"
#include "httptest.h"
#include "repeatedbody.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

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

// An error that is known from the bytes must not wait for the deadline.
constexpr Milliseconds PromptLimit{5000};
constexpr Milliseconds LateDeadline{6000};

const std::string ResponseInBody = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";

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

// Expects that each response is reported as an error, and not only at the deadline.
void checkRejected(const std::vector<std::string> &responses, End end = End::None)
{
    for (const auto &response : responses) {
        BrokenResponseServer server(AnyPort, BrokenResponse{.bytes = response, .end = end});
        const auto begin = Clock::now();
        const auto result = exchange(server.endpoint(), Upload::None, http::verb::get, LateDeadline);
        const auto line = response.substr(0, response.find("\r\n\r\n"));
        BOOST_TEST(!result.has_value(), line);
        BOOST_TEST((!result && result.error().kind == ErrorKind::OutcomeUnknown), line);
        BOOST_TEST((Clock::now() < begin + PromptLimit), line);
    }
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

// Guards against status codes outside 100 to 599 that reach callers, and against bodies of such responses parsed as responses.
BOOST_AUTO_TEST_CASE(ResponseWithAnInvalidStatusIsRejected)
{
    std::vector<std::string> responses;
    for (const std::string status : {"000", "001", "099", "600", "999"}) {
        responses.push_back(fmt::format("HTTP/1.1 {} Broken\r\nContent-Length: {}\r\n\r\n{}", status, ResponseInBody.size(), ResponseInBody));
        responses.push_back(fmt::format("HTTP/1.1 {} Broken\r\nContent-Length: 0\r\n\r\n", status));
        responses.push_back(fmt::format("HTTP/1.1 {}\r\n\r\n{}", status, ResponseInBody));
    }
    checkRejected(responses);
    checkRejected(responses, End::Close);
}

// Guards against the loss of responses whose status code no registry lists, and against their bodies parsed as responses.
BOOST_AUTO_TEST_CASE(ResponseWithAnUnlistedStatusArrives)
{
    for (const unsigned status : {218U, 299U, 399U, 418U, 499U, 530U, 599U}) {
        BrokenResponseServer server(AnyPort,
            BrokenResponse{.bytes
                = "HTTP/1.1 " + std::to_string(status) + " Own\r\nContent-Length: " + std::to_string(ResponseInBody.size()) + "\r\n\r\n" + ResponseInBody});
        const auto result = exchange(server.endpoint());
        BOOST_REQUIRE_MESSAGE(result.has_value(), status);
        BOOST_TEST(result->result_int() == status);
        BOOST_TEST(result->body() == ResponseInBody);
    }
}

// Guards against interim responses with unlisted codes that count as final ones.
BOOST_AUTO_TEST_CASE(InterimResponsesAreSkipped)
{
    for (const std::string status : {"100", "102", "103", "150", "199"}) {
        BrokenResponseServer server(AnyPort, BrokenResponse{.bytes = "HTTP/1.1 " + status + " Wait\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"});
        const auto result = exchange(server.endpoint());
        BOOST_REQUIRE_MESSAGE(result.has_value(), status);
        BOOST_TEST(result->body() == "good");
    }
}

// Guards against bytes of another protocol that are read as the response, after a switch that nobody asked for.
BOOST_AUTO_TEST_CASE(SwitchOfProtocolsIsRejected)
{
    checkRejected({"HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: Upgrade\r\n\r\n" + ResponseInBody});
}

// Guards against bodies whose coding the client can't decode, passed on without the field that names it.
BOOST_AUTO_TEST_CASE(ResponseWithAnUnsupportedTransferCodingIsRejected)
{
    const std::string chunks = "\r\n\r\n5\r\nwrong\r\n0\r\n\r\n";
    std::vector<std::string> responses;
    for (const std::string coding : {"gzip", "xchunked", "chunked, gzip", "gzip, chunked", "identity", "chunked;q=1", "chunked, chunked", ""}) {
        responses.push_back(fmt::format("HTTP/1.1 200 OK\r\nTransfer-Encoding: {}{}", coding, chunks));
        responses.push_back(fmt::format("HTTP/1.1 200 OK\r\nTransfer-Encoding: {}\r\nContent-Length: 5{}", coding, chunks));
        responses.push_back(fmt::format("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: {}{}", coding, chunks));
    }
    responses.push_back("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nTransfer-Encoding: chunked" + chunks);
    responses.push_back("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked" + chunks);
    responses.push_back("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 5" + chunks);
    responses.push_back("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked" + chunks);
    checkRejected(responses);
    checkRejected(responses, End::Close);
}

// RFC 9112, 6.3: a length that is repeated unchanged is read as one length, which is all that is passed on.
BOOST_AUTO_TEST_CASE(RepeatedEqualLengthsAreOneLength)
{
    for (const std::string lengths : {"Content-Length: 5\r\nContent-Length: 5", "Content-Length: 5, 5", "Content-Length: 5\r\nContent-Length: 5, 5"}) {
        for (const auto method : {http::verb::get, http::verb::head}) {
            const std::string body = method == http::verb::head ? "" : "whole";
            BrokenResponseServer server(AnyPort, BrokenResponse{.bytes = fmt::format("HTTP/1.1 200 OK\r\n{}\r\n\r\n{}", lengths, body)});
            const auto result = exchange(server.endpoint(), Upload::None, method);
            BOOST_REQUIRE_MESSAGE(result.has_value(), lengths);
            BOOST_TEST(result->body() == body);
            BOOST_TEST(result->count(http::field::content_length) == 1U);
            BOOST_TEST((*result)[http::field::content_length] == "5");
        }
    }
}

// Guards against header fields with invalid names or values that are passed on, or that hide the length of the body.
BOOST_AUTO_TEST_CASE(ResponseWithAMalformedFieldIsRejected)
{
    using namespace std::string_literals;
    std::vector<std::string> responses;
    for (const auto &field : {"X Name: v"s,
             "X-Name : v"s,
             "X-Name\t: v"s,
             "\x01X-Name: v"s,
             "X-\x7fName: v"s,
             "X\0Name: v"s,
             "X-N\x80me: v"s,
             " X-Name: v"s,
             ": v"s,
             "X-Name"s,
             "X-Name: a\x01"s,
             "X-Name: a\0b"s,
             "X-Name: a\rb"s,
             "Content-Length : 3"s,
             "Content-Length\x0b: 3"s,
             "Content Length: 3"s,
             "Transfer-Encoding : chunked"s}) {
        responses.push_back("HTTP/1.1 200 OK\r\n" + field + "\r\nContent-Length: 5\r\n\r\nwrong");
        responses.push_back("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + field + "\r\n\r\nwrong");
    }
    checkRejected(responses);
}

// Guards against lengths that another recipient could read differently.
BOOST_AUTO_TEST_CASE(ResponseWithAnInvalidLengthIsRejected)
{
    std::vector<std::string> responses;
    for (const std::string lengths : {"Content-Length: 5\r\nContent-Length: 4",
             "Content-Length: 5, 4",
             "Content-Length: +5",
             "Content-Length: -5",
             "Content-Length: 0x5",
             "Content-Length: 5 5",
             "Content-Length: 5,",
             "Content-Length: ",
             "Content-Length: 99999999999999999999"}) {
        responses.push_back("HTTP/1.1 200 OK\r\n" + lengths + "\r\n\r\nwrong");
    }
    checkRejected(responses);
    checkRejected(responses, End::Close);
}

// RFC 9112, 5.2: a folded line is read as one line, and is not passed on as it is.
BOOST_AUTO_TEST_CASE(FoldedLineIsOneLine)
{
    BrokenResponseServer server(AnyPort, BrokenResponse{.bytes = "HTTP/1.1 200 OK\r\nX-Long: one\r\n two\r\n\tthree\r\nContent-Length: 5\r\n\r\nwhole"});
    const auto result = exchange(server.endpoint());
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST((*result)["X-Long"] == "one two three");
    BOOST_TEST(result->body() == "whole");
}

// Guards against a status line or a line end that another recipient could read differently.
BOOST_AUTO_TEST_CASE(MalformedStatusLineIsRejected)
{
    checkRejected({"HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 2x0 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1  200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 O\x01K\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Name: v\nContent-Length: 0\r\n\r\n"});
}
