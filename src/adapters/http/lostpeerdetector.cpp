#include "adapters/http/lostpeerdetector.h"

namespace Galenahill {

namespace {

constexpr int ChecksPerTimeout = 5;

}

class LostPeerDetector::Private : public std::enable_shared_from_this<LostPeerDetector::Private>
{
public:
    Private(asio::io_context &context, Milliseconds limit)
        : timer(context)
        , timeout(limit)
    {
    }

    using List = boost::intrusive::list<WatchedPeer, boost::intrusive::constant_time_size<false>>;

    asio::steady_timer timer;
    Milliseconds timeout;
    List watched;
    bool scheduled = false;

    Milliseconds checkInterval() const;
    void schedule();
    void check();
};

LostPeerDetector::LostPeerDetector(asio::io_context &context, Milliseconds timeout)
    : d(std::make_shared<Private>(context, timeout))
{
}

LostPeerDetector::~LostPeerDetector()
{
    d->timer.cancel();
}

void LostPeerDetector::watch(WatchedPeer &peer)
{
    peer.m_silence = PeerSilence(2 * d->checkInterval());
    if (!peer.is_linked()) {
        d->watched.push_back(peer);
    }
    d->schedule();
}

Milliseconds LostPeerDetector::Private::checkInterval() const
{
    return timeout / ChecksPerTimeout;
}

// The timer isn't cancelled when the last connection is unlinked: short exchanges in turn would start
// and cancel it each time.
void LostPeerDetector::Private::schedule()
{
    if (scheduled || watched.empty()) {
        return;
    }
    scheduled = true;
    timer.expires_after(checkInterval());
    timer.async_wait([weak = weak_from_this()](ErrorCode error) {
        if (const auto self = weak.lock(); self && !error) {
            self->scheduled = false;
            self->check();
            self->schedule();
        }
    });
}

void LostPeerDetector::Private::check()
{
    List checked;
    checked.swap(watched);
    while (!checked.empty()) {
        auto &peer = checked.front();
        checked.pop_front();
        const auto snapshot = peer.snapshot();
        if (snapshot) {
            peer.m_silence.update(*snapshot);
        }
        if (snapshot && peer.m_silence.lastsFor(timeout)) {
            peer.lost();
        } else {
            watched.push_back(peer);
        }
    }
}

}
