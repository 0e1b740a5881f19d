#include "loadgenerator.h"

#include "adapters/http/httpclient.h"
#include "core/calls/callheaders.h"

#include <algorithm>
#include <fmt/format.h>
#include <random>

namespace Galenahill {

namespace {

constexpr Milliseconds InFlightCheckInterval{1};

struct PlannedCall
{
    Endpoint ingress;
    const LoadGenerator::CallKind *kind = nullptr;
    TimePoint scheduled;
};

// Whether this is the whole body of the response to the call; longer bodies are padded with one character.
bool isOwnBody(const std::string &body, const std::string &id, std::size_t length)
{
    const auto text = "done " + id;
    return body.starts_with(text) && body.size() == std::max(length, text.size()) && body.find_first_not_of('x', text.size()) == std::string::npos;
}

CallOutcome outcomeOf(const Result<HttpResponse> &response, const std::string &id, const std::string &idField, std::size_t responseBytes)
{
    if (!response) {
        return response.error().kind == ErrorKind::Unavailable ? CallOutcome::NotRun : CallOutcome::Unknown;
    }
    const auto outcome = (*response)[CallHeaders::Outcome];
    if (outcome == CallHeaders::NotRun) {
        return CallOutcome::NotRun;
    }
    if (response->result() != http::status::ok) {
        return CallOutcome::Unknown;
    }
    const bool matches = (*response)[idField] == id && isOwnBody(response->body(), id, responseBytes);
    return matches ? CallOutcome::Answered : CallOutcome::Mismatched;
}

void recordStatements(const HttpResponse &response, const CallHeaderNames &names, CallRecord &record)
{
    const auto value = [&](const std::string &name) { return name.empty() ? std::string() : std::string(response[name]); };
    record.target = value(names.originMarker);
    record.statedRateLimit = value(names.rateLimit);
    record.statedLeaving = value(names.leaving) == "1";
}

HttpRequest requestOf(const LoadGenerator::Options &options, const PlannedCall &call, const std::string &idField, const CallRecord &record)
{
    const auto verb = http::string_to_verb(call.kind->method);
    HttpRequest request(verb, call.kind->path, 11);
    request.set(http::field::host, options.host.empty() ? toString(call.ingress) : options.host);
    request.set(idField, record.id);
    if (!options.headerNames.requestId.empty()) {
        request.set(options.headerNames.timeoutMs, std::to_string(options.timeout.count()));
    }
    if (!record.key.empty()) {
        request.set(http::field::authorization, "Bearer " + record.key);
    }
    if (verb == http::verb::post) {
        request.body() = "order " + record.id;
    }
    return request;
}

// Appends the rest of a streamed response to its body. Returns whether the response is complete.
asio::awaitable<bool> readRest(HttpResponse &response, BodySource &rest)
{
    constexpr std::size_t PartBytes = 64 * 1024;
    while (!rest.done()) {
        if (co_await rest.read(response.body(), PartBytes)) {
            co_return false;
        }
    }
    co_return true;
}

CallEnd endOf(const Result<HttpResponse> &response, bool complete, TimePoint endedAt, TimePoint deadline)
{
    if (complete) {
        return CallEnd::Response;
    }
    if (!response && response.error().kind == ErrorKind::Unavailable) {
        return CallEnd::NotSent;
    }
    if (endedAt >= deadline) {
        return CallEnd::TimedOut;
    }
    return response ? CallEnd::ClosedInResponse : CallEnd::ClosedBeforeResponse;
}

asio::awaitable<void> sendCall(HttpClient &client, const LoadGenerator::Options &options, PlannedCall call, TimePoint deadline, CallRecord &record)
{
    const auto idField = options.headerNames.requestId.empty() ? std::string("Request-Id") : options.headerNames.requestId;
    auto request = requestOf(options, call, idField, record);
    std::unique_ptr<BodySource> rest;
    const auto cancellation = std::make_shared<Cancellation>();
    HttpClient::ExchangeOptions exchangeOptions{.cancellation = cancellation.get()};
    if (call.kind->responseBytes > 0) {
        exchangeOptions.responseBody = &rest;
    }
    record.sentAt = Clock::now();
    auto response = co_await client.exchange(call.ingress, request, deadline, exchangeOptions);
    bool complete = response.has_value();
    if (response && rest) {
        asio::steady_timer timer(co_await asio::this_coro::executor, deadline);
        timer.async_wait([cancellation](ErrorCode error) {
            if (!error) {
                cancellation->cancel();
            }
        });
        complete = co_await readRest(*response, *rest);
    }
    record.endedAt = Clock::now();
    record.end = endOf(response, complete, record.endedAt, deadline);
    record.receivedBytes = response ? response->body().size() : 0;
    if (!complete && response) {
        response = failure(ErrorKind::OutcomeUnknown, "the response is truncated");
    }
    if (response) {
        recordStatements(*response, options.headerNames, record);
    }
    record.latency = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - call.scheduled);
    record.outcome = outcomeOf(response, record.id, idField, call.kind->responseBytes);
    record.status = response ? static_cast<int>(response->result_int()) : 0;
}

asio::awaitable<void> sendAll(
    asio::io_context &context, HttpClient &client, const LoadGenerator::Options &options, std::vector<CallRecord> &records, std::size_t &inFlight)
{
    std::mt19937_64 random(options.seed);
    std::vector<double> weights;
    for (const auto &kind : options.kinds) {
        weights.push_back(kind.weight);
    }
    std::discrete_distribution<std::size_t> chooseKind(weights.begin(), weights.end());
    std::uniform_int_distribution<std::size_t> chooseIngress(0, options.ingresses.size() - 1);
    asio::steady_timer timer(context);
    const auto begin = Clock::now();
    for (std::size_t i = 0; i < options.calls; ++i) {
        const auto offset = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::duration<double>(static_cast<double>(i) / options.rate));
        if (begin + offset > Clock::now()) {
            ErrorCode ignored;
            timer.expires_at(begin + offset);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        while (options.maxInFlight > 0 && inFlight >= options.maxInFlight) {
            ErrorCode ignored;
            timer.expires_after(InFlightCheckInterval);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        const auto &kind = options.kinds[chooseKind(random)];
        auto &record = records[i];
        record.id = fmt::format("{}-{}", options.idPrefix, i);
        record.path = kind.path;
        record.key = kind.key;
        record.timeout = options.timeout;
        record.responseBytes = kind.responseBytes;
        record.ingress = chooseIngress(random);
        record.idempotent = kind.idempotent;
        record.scheduled = offset;
        PlannedCall call{options.ingresses[record.ingress], &kind, begin + offset};
        ++inFlight;
        asio::co_spawn(context, sendCall(client, options, std::move(call), Clock::now() + options.timeout, record), [&inFlight](const std::exception_ptr &) {
            --inFlight;
        });
    }
}

}

LoadGenerator::LoadGenerator(Options options)
    : m_options(std::move(options))
{
}

std::vector<CallRecord> LoadGenerator::run()
{
    asio::io_context context(1);
    // Responses to calls that state a length are streamed from the first byte, so that truncation is seen.
    HttpClient client(context, {.maxIdlePerEndpoint = 256, .bufferedBodyBytes = 1});
    std::vector<CallRecord> records(m_options.calls);
    std::size_t inFlight = 0;
    asio::co_spawn(context, sendAll(context, client, m_options, records, inFlight), asio::detached);
    context.run();
    return records;
}

}
