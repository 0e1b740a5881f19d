#pragma once

#include "adapters/codec/deltabases.h"
#include "adapters/http/httpclient.h"
#include "daemon/nodestate.h"
#include "ports/logger.h"

#include <functional>
#include <map>
#include <memory>

namespace Galenahill {

// Transfers whole revisions between nodes, as compressed deltas against a base that the
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
        // Deltas cached for further peers.
        std::size_t maxCached = 8;
        // Revisions kept as bases: the one in force and those before it.
        std::size_t maxBases = 4;
        // Builds a revision from a received bundle and validates all of it.
        std::function<Result<std::shared_ptr<const ConfigRevision>>(ConfigBundle)> build = ConfigRevision::fromBundle;
    };

    explicit RevisionExchange(Options options);

    // Keeps a revision that came into force as a base.
    void addBase(const ConfigRevision &revision);

    // Responds to a peer that holds the base of that digest, or no base.
    HttpResponse serve(const std::string &baseDigest);

    // Pulls the peer's revision, and verifies and validates it.
    asio::awaitable<Result<std::shared_ptr<const ConfigRevision>>> pull(Endpoint peer);

private:
    Options m_options;
    DeltaBases m_bases;
    std::map<std::pair<ContentHash, ContentHash>, std::string> m_deltas;
};

}
