#pragma once

#include "adapters/platform/documentstore.h"

#include <deque>

namespace Galenahill {

// Returns the scripted results one after the other, then blocks every further call.
class ScriptedStore : public DocumentStore
{
public:
    explicit ScriptedStore(asio::io_context &context)
        : m_context(context)
    {
    }

    asio::awaitable<Result<DocumentSet>> list(std::string kind, Freshness) override
    {
        calledWith.push_back("list " + kind);
        co_return co_await next();
    }

    // A watch without a scripted result can be cancelled.
    asio::awaitable<Result<DocumentSet>> watch(std::string kind, ObjectVersion after, Milliseconds, Cancellation *cancellation) override
    {
        calledWith.push_back("watch " + kind + " " + std::to_string(after.value()));
        while (responses.empty() && cancellation != nullptr && !cancellation->cancelled()) {
            asio::steady_timer timer(m_context, Milliseconds(1));
            ErrorCode ignored;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        if (cancellation != nullptr && cancellation->cancelled()) {
            co_return failure(ErrorKind::OutcomeUnknown, "cancelled");
        }
        co_return co_await next();
    }

    asio::awaitable<Result<ObjectVersion>> version(std::string kind, std::string lastName) override
    {
        calledWith.push_back("version " + kind + " " + lastName);
        co_return storeVersion;
    }

    asio::awaitable<Result<StoredDocument>> read(std::string kind, std::string name) override
    {
        calledWith.push_back("read " + kind + " " + name);
        co_return failure(ErrorKind::NotFound, name);
    }

    asio::awaitable<Result<ObjectVersion>> write(std::string kind, std::string name, std::string, ObjectVersion) override
    {
        calledWith.push_back("write " + kind + " " + name);
        co_return putResponse.map([] { return ObjectVersion(); });
    }

    asio::awaitable<Result<void>> put(std::string kind, std::string name, std::string) override
    {
        calledWith.push_back("put " + kind + " " + name);
        co_return putResponse;
    }

    asio::awaitable<Result<ObjectVersion>> writeStatus(std::string kind, std::string name, std::string, ObjectVersion) override
    {
        calledWith.push_back("status " + kind + " " + name);
        co_return putResponse.map([] { return ObjectVersion(); });
    }

    asio::awaitable<Result<void>> remove(std::string kind, std::string name, ObjectVersion) override
    {
        calledWith.push_back("remove " + kind + " " + name);
        co_return Result<void>();
    }

    std::uint64_t calls() const override
    {
        return calledWith.size();
    }

    std::deque<Result<DocumentSet>> responses;
    Result<void> putResponse;
    Result<ObjectVersion> storeVersion;
    std::vector<std::string> calledWith;

private:
    asio::awaitable<Result<DocumentSet>> next()
    {
        if (responses.empty()) {
            asio::steady_timer timer(m_context, std::chrono::hours(1));
            ErrorCode ignored;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        auto response = std::move(responses.front());
        responses.pop_front();
        co_return response;
    }

    asio::io_context &m_context;
};

}
