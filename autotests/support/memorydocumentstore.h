#pragma once

#include "adapters/http/sleep.h"
#include "adapters/platform/documentstore.h"

#include <map>

namespace Galenahill {

// Documents in memory, with watches that see each change. Used on one thread.
class MemoryDocumentStore : public DocumentStore
{
public:
    explicit MemoryDocumentStore(asio::io_context &context)
        : m_context(context)
    {
    }

    asio::awaitable<Result<DocumentSet>> list(std::string kind, Freshness) override
    {
        ++m_calls;
        co_return changesAfter(kind, ObjectVersion());
    }

    asio::awaitable<Result<DocumentSet>> watch(std::string kind, ObjectVersion after, Milliseconds timeLimit, Cancellation *) override
    {
        ++m_calls;
        const auto end = Clock::now() + timeLimit;
        auto changes = changesAfter(kind, after);
        while (changes.documents.empty() && Clock::now() < end) {
            co_await sleepFor(m_context, Milliseconds(10));
            changes = changesAfter(kind, after);
        }
        co_return changes;
    }

    asio::awaitable<Result<ObjectVersion>> version(std::string, std::string) override
    {
        ++m_calls;
        co_return ObjectVersion(m_version);
    }

    asio::awaitable<Result<StoredDocument>> read(std::string, std::string name) override
    {
        co_return failure(ErrorKind::NotFound, name);
    }

    asio::awaitable<Result<ObjectVersion>> write(std::string kind, std::string name, std::string content, ObjectVersion) override
    {
        set(kind, name, std::move(content));
        co_return ObjectVersion(m_version);
    }

    asio::awaitable<Result<void>> put(std::string kind, std::string name, std::string content) override
    {
        written += content;
        set(kind, name, std::move(content));
        co_return Result<void>();
    }

    asio::awaitable<Result<ObjectVersion>> writeStatus(std::string, std::string, std::string status, ObjectVersion) override
    {
        written += status;
        co_return ObjectVersion(m_version);
    }

    asio::awaitable<Result<void>> remove(std::string kind, std::string name, ObjectVersion) override
    {
        m_kinds[kind].erase(name);
        co_return Result<void>();
    }

    std::uint64_t calls() const override
    {
        return m_calls;
    }

    // Writes a document as another client of the store would.
    void set(const std::string &kind, const std::string &name, std::string content)
    {
        m_kinds[kind][name] = {.name = name, .content = std::move(content), .version = ObjectVersion(++m_version)};
    }

    // All that the node wrote.
    std::string written;

private:
    DocumentSet changesAfter(const std::string &kind, ObjectVersion version)
    {
        DocumentSet changes{.documents = {}, .version = ObjectVersion(m_version)};
        for (const auto &[name, document] : m_kinds[kind]) {
            if (document.version > version) {
                changes.documents.push_back(document);
            }
        }
        return changes;
    }

    asio::io_context &m_context;
    std::map<std::string, std::map<std::string, StoredDocument>> m_kinds;
    std::uint64_t m_version = 0;
    std::uint64_t m_calls = 0;
};

}
