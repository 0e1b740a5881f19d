#pragma once

#include "adapters/http/asio.h"
#include "adapters/http/peersilence.h"

#include <boost/intrusive/list.hpp>
#include <functional>
#include <memory>

namespace Galenahill {

// A connection whose peer may be lost while it is in use.
class WatchedPeer : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    // The state of the connection; empty if it can't be read.
    std::function<std::optional<TcpSnapshot>()> snapshot;

    // Called once when the peer counts as lost.
    std::function<void()> lost;

private:
    friend class LostPeerDetector;

    PeerSilence m_silence;
};

// Finds peers that lost power or their network: they acknowledge nothing, and never reset the
// connection. Unlike TCP_USER_TIMEOUT, it doesn't take a peer for lost that leaves its receive window
// full but answers the probes. One timer serves all connections; it stops while none is watched.
class LostPeerDetector
{
public:
    // Peers that owe an acknowledgement for that time count as lost.
    LostPeerDetector(asio::io_context &context, Milliseconds timeout);
    ~LostPeerDetector();

    // Watches the connection until it is unlinked or destroyed.
    void watch(WatchedPeer &peer);

private:
    class Private;
    std::shared_ptr<Private> d;
};

}
