#pragma once

#include "adapters/http/httpclient.h"
#include "daemon/nodestate.h"
#include "ports/logger.h"

#include <functional>
#include <map>
#include <memory>

namespace Galenahill {

// Carries whole revisions between nodes as compressed deltas against what the
// receiver holds. Used on the control thread only.
class RevisionExchange
{
public:
    struct Options
    {
        std::shared_ptr<NodeState> state;
        HttpClient &client;
        Logger log;
        Milliseconds timeLimit{2000};
        // Texts and deltas that are kept for the next peers.
        std::size_t maxCached = 8;
        // Makes a revision of a bundle that came; checks all of it.
        std::function<Result<std::shared_ptr<const ConfigRevision>>(ConfigBundle)> build = ConfigRevision::fromBundle;
    };

    explicit RevisionExchange(Options options);

    // Answers a peer that holds the base of that digest, or none.
    HttpResponse serve(const std::string &baseDigest);

    // Fetches the peer's revision, verified and validated.
    asio::awaitable<Result<std::shared_ptr<const ConfigRevision>>> pull(Endpoint peer);

private:
    const std::string &encoded(const ConfigRevision &revision);

    Options m_options;
    std::map<ContentHash, std::string> m_encoded;
    std::map<std::pair<ContentHash, ContentHash>, std::string> m_deltas;
};

}
