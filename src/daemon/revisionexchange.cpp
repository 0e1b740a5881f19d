#include "daemon/revisionexchange.h"

#include "adapters/codec/binarycodec.h"
#include "adapters/codec/deltacodec.h"

namespace Galenahill {

namespace {

constexpr const char *BaseHeader = "Galenahill-Base";

}

RevisionExchange::RevisionExchange(Options options)
    : m_options(std::move(options))
    , m_bases(m_options.maxBases)
{
}

void RevisionExchange::addBase(const ConfigRevision &revision)
{
    m_bases.add(revision.digest, encode(revision.bundle));
}

HttpResponse RevisionExchange::serve(const std::string &baseDigest)
{
    const auto current = m_options.state->revisions.current();
    if (!current) {
        return makeErrorResponse(http::status::not_found, "not-found", "this node has no revision yet; ask another node");
    }
    const auto base = m_bases.find(ContentHash(baseDigest));
    const std::pair key(current->digest, base ? ContentHash(baseDigest) : ContentHash());
    if (m_deltas.size() >= m_options.maxCached) {
        m_deltas.clear();
    }
    const auto [entry, added] = m_deltas.try_emplace(key);
    if (added) {
        entry->second = compressDelta(encode(current->bundle), base.value_or(std::string()));
    }
    auto response = makeResponse(http::status::ok, "application/octet-stream", entry->second);
    response.set(BaseHeader, key.second.value().empty() ? "none" : key.second.value());
    return response;
}

asio::awaitable<Result<std::shared_ptr<const ConfigRevision>>> RevisionExchange::pull(Endpoint peer)
{
    const auto current = m_options.state->revisions.current();
    HttpRequest request(http::verb::get, "/config?base=" + (current ? current->digest.value() : std::string("none")), 11);
    request.set(http::field::host, toString(peer));
    auto response = co_await m_options.client.exchange(peer, std::move(request), Clock::now() + m_options.timeLimit);
    if (!response) {
        co_return tl::unexpected(response.error());
    }
    if (response->result() != http::status::ok) {
        co_return failure(ErrorKind::Unavailable, toString(peer) + ": did not return a revision");
    }
    const auto base = (*response)[BaseHeader];
    std::string baseText;
    if (base != "none") {
        auto known = m_bases.find(ContentHash(std::string(base)));
        if (!known) {
            co_return failure(ErrorKind::Corrupt, toString(peer) + ": sent a delta against a base that this node does not hold");
        }
        baseText = std::move(*known);
    }
    auto text = expandDelta(response->body(), baseText);
    if (!text) {
        co_return tl::unexpected(text.error());
    }
    // Freed early: each text is as large as the configuration, and decoding it takes more.
    baseText = std::string();
    auto bundle = decodeBundle(*text);
    *text = std::string();
    if (!bundle) {
        co_return tl::unexpected(bundle.error());
    }
    co_return m_options.build(std::move(*bundle));
}

}
