#include "daemon/targetprobe.h"

namespace Galenahill {

namespace {

constexpr Milliseconds StartingInterval{100};
constexpr Milliseconds ReadyInterval{250};
constexpr Milliseconds Timeout{1000};

// Number of connections to the target that are kept open, so that calls after a pause do not wait for
// new ones.
constexpr std::size_t WarmConnections = 4;

// Number of consecutive checks without a response, and of checks with a response other than "ready",
// after which the target counts as not ready. A single failed check can be chance.
constexpr int UnansweredThreshold = 3;
constexpr int NotReadyThreshold = 2;

}

TargetProbe::TargetProbe(Options options)
    : m_options(std::move(options))
{
}

asio::awaitable<void> TargetProbe::run()
{
    asio::steady_timer timer(m_options.context);
    while (!m_options.stopped()) {
        HttpRequest request(http::verb::get, m_options.path, 11);
        request.set(http::field::host, toString(m_options.target));
        HttpClient::ExchangeOptions exchangeOptions;
        exchangeOptions.maxBodyBytes = MaxHealthCheckBytes;
        const auto response = co_await m_options.client.exchange(m_options.target, request, Clock::now() + Timeout, exchangeOptions);
        processResponse(response);
        if (m_state == MemberState::Ready) {
            co_await m_options.client.warm(m_options.target, WarmConnections, Clock::now() + Timeout);
        }
        const bool stable = m_state == MemberState::Ready && m_unanswered == 0 && m_notReady == 0;
        ErrorCode ignored;
        timer.expires_after(stable ? ReadyInterval : StartingInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void TargetProbe::setState(MemberState state)
{
    m_state = state;
    m_options.changed(state);
}

void TargetProbe::processResponse(const Result<HttpResponse> &response)
{
    if (m_options.stopped()) {
        return;
    }
    if (response && response->result() == http::status::ok) {
        m_unanswered = 0;
        m_notReady = 0;
        setState(MemberState::Ready);
        return;
    }
    const bool isDraining = response && response->body().find("draining") != std::string::npos;
    if (isDraining) {
        setState(MemberState::Draining);
        return;
    }
    ++(response ? m_notReady : m_unanswered);
    if (m_unanswered >= UnansweredThreshold || m_notReady >= NotReadyThreshold) {
        setState(MemberState::Starting);
    }
}

}
