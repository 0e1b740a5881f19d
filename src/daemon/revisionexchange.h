#pragma once

#include "adapters/codec/deltabases.h"
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
        // Deltas that are kept for the next peers.
        std::size_t maxCached = 8;
        // Revisions that serve as bases: the one in force and those before it.
        std::size_t maxBases = 4;
        // Makes a revision of a bundle that came; checks all of it.
        std::function<Result<std::shared_ptr<const ConfigRevision>>(ConfigBundle)> build = ConfigRevision::fromBundle;
    };

    explicit RevisionExchange(Options options);

    // The revision came into force; it is a base from now on.
    void remember(const ConfigRevision &revision);

    // Answers a peer that holds the base of that digest, or none.
    HttpResponse serve(const std::string &baseDigest);

    // Fetches the peer's revision, verified and validated.
    asio::awaitable<Result<std::shared_ptr<const ConfigRevision>>> pull(Endpoint peer);

private:
    Options m_options;
    DeltaBases m_bases;
    std::map<std::pair<ContentHash, ContentHash>, std::string> m_deltas;
};

}
