#pragma once

#include "adapters/http/bodysource.h"
#include "daemon/calls/responsesender.h"

namespace Galenahill {

// Body of a large response, which is sent in parts as the schedule of the outbound link grants them. It
// is buffered as far as there is memory for it; the rest stays at the target and is read part by part.
class PacedBody : public BodySource
{
public:
    // `rest` continues the body after `first`; null if that is the complete body.
    PacedBody(std::shared_ptr<ResponseSender> sender, ResponseTicket ticket, std::string first, std::unique_ptr<BodySource> rest, ServerConnection &connection);

    // Reads the rest from the target as far as there is memory for it.
    asio::awaitable<ErrorCode> buffer();

    // Whether the target has sent everything, and all of it is within the bound for buffered bodies.
    bool buffered() const;
    std::uint64_t bufferedBytes() const;

    // Waits until the first part may be sent; false if the response is not to be sent.
    asio::awaitable<bool> waitForFirstPart();

    // Whether the schedule has granted no further part.
    bool givenUp() const;

    asio::awaitable<ErrorCode> read(std::string &part, std::size_t limit) override;
    bool done() const override;
    bool readStarted() const override;
    std::optional<std::uint64_t> length() const override;

private:
    bool restDone() const;
    std::uint64_t bytesLeft() const;

    std::shared_ptr<ResponseSender> m_sender;
    ResponseTicket m_ticket;
    std::string m_buffer;
    std::unique_ptr<BodySource> m_rest;
    ServerConnection &m_connection;
    bool m_withinBound = false;
    // Bytes that were sent, and those among them that came from the buffer.
    std::uint64_t m_sent = 0;
    std::size_t m_sentFromBuffer = 0;
    // Bytes that may be sent.
    std::uint64_t m_granted = 0;
    bool m_givenUp = false;
};

}
