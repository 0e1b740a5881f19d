#include "server.h"

#include <nlohmann/json.hpp>

namespace Review {

namespace {

constexpr Seconds IdleTime{120};
constexpr Seconds BeatTime{1};

}

Server::Server(Options options)
    : m_options(std::move(options))
    , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
{
}

void Server::start()
{
    serve(m_options.address, [this](Connection &connection) { handle(connection); });
    std::thread([this] { sendBeats(); }).detach();
}

const Server::Options &Server::options() const
{
    return m_options;
}

void Server::handle(Connection &connection)
{
    while (const auto request = connection.read(IdleTime)) {
        if (!respond(*request, connection)) {
            return;
        }
    }
}

bool Server::respond(const Message &request, Connection &connection)
{
    if (request.target() == "/health") {
        if (m_options.health) {
            return m_options.health(*this, connection);
        }
        return connection.write(response(200, "Galenahill-Instance-Id: " + m_options.id + "\r\n", "ok"));
    }
    const auto expected = request.field("Galenahill-Expected-Instance");
    if (!expected.empty() && expected != m_options.id) {
        return connection.write(response(421, "Galenahill-Instance-Id: " + m_options.id + "\r\n", "another server"));
    }
    return m_options.run(*this, request, connection);
}

std::string Server::answerFields(const Message &request) const
{
    const auto id = request.field("Galenahill-Request-Id");
    return "Galenahill-Request-Id: " + id + "\r\nGalenahill-Server-Signature: " + m_options.id + "." + id + "\r\n";
}

std::string Server::answer(const Message &request, const std::string &body, int status) const
{
    return response(status, answerFields(request), body);
}

void Server::sendBeats()
{
    constexpr Seconds RetryTime{0.3};
    for (int sequence = 1;; ++sequence) {
        sleepFor(sendBeat(sequence) ? m_options.beatInterval : RetryTime);
    }
}

bool Server::sendBeat(int sequence)
{
    const auto connection = connectTo(m_options.control);
    if (!connection) {
        return false;
    }
    const nlohmann::json beat = {{"address", m_options.address.text()},
        {"born", m_born},
        {"info", {{"service", m_options.service}, {"version", m_options.version}, {"zone", m_options.zone}, {"concurrency-limit", m_options.slots}}},
        {"status", {{"state", "ready"}, {"sequence", sequence}, {"warmup-remaining-s", 0}}}};
    const auto body = beat.dump();
    connection->write("PUT /instances/" + m_options.id + " HTTP/1.1\r\nHost: " + m_options.control.text()
        + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    const auto answer = connection->read(BeatTime);
    return answer && answer->status() / 100 == 2;
}

}
