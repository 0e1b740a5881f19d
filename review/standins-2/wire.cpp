#include "wire.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Review {

namespace {

constexpr int Backlog = 512;
constexpr Seconds ConnectTime{1};

int milliseconds(Seconds time)
{
    return static_cast<int>(time.count() * 1000);
}

sockaddr_in socketAddress(const Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(endpoint.port));
    inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    return address;
}

int boundSocket(const Endpoint &endpoint)
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    const auto address = socketAddress(endpoint);
    if (bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || listen(listener, Backlog) != 0) {
        close(listener);
        return -1;
    }
    return listener;
}

}

std::string Message::field(std::string_view name) const
{
    for (const auto &[key, value] : fields) {
        if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0) {
            return value;
        }
    }
    return {};
}

std::string Message::method() const
{
    return startLine.substr(0, startLine.find(' '));
}

std::string Message::target() const
{
    const auto begin = startLine.find(' ');
    const auto end = startLine.rfind(' ');
    return begin == std::string::npos || end <= begin ? std::string() : startLine.substr(begin + 1, end - begin - 1);
}

int Message::status() const
{
    const auto begin = startLine.find(' ');
    return begin == std::string::npos ? 0 : std::atoi(startLine.c_str() + begin + 1);
}

Connection::Connection(int socket)
    : m_socket(socket)
{
    const int yes = 1;
    setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
}

Connection::~Connection()
{
    if (m_socket >= 0) {
        close(m_socket);
    }
}

bool Connection::fill(Seconds timeLimit)
{
    pollfd waiting{.fd = m_socket, .events = POLLIN, .revents = 0};
    if (poll(&waiting, 1, milliseconds(timeLimit)) <= 0) {
        return false;
    }
    char bytes[65536];
    const auto count = recv(m_socket, bytes, sizeof(bytes), 0);
    if (count <= 0) {
        return false;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

std::optional<std::string> Connection::readLine(Seconds timeLimit)
{
    auto end = m_buffer.find("\r\n");
    while (end == std::string::npos) {
        if (!fill(timeLimit)) {
            return std::nullopt;
        }
        end = m_buffer.find("\r\n");
    }
    auto line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return line;
}

std::optional<Message> Connection::readHead(Seconds timeLimit)
{
    Message message;
    auto line = readLine(timeLimit);
    if (!line) {
        return std::nullopt;
    }
    message.startLine = std::move(*line);
    for (line = readLine(timeLimit); line && !line->empty(); line = readLine(timeLimit)) {
        const auto colon = std::min(line->find(':'), line->size());
        const auto value = line->find_first_not_of(' ', colon + 1);
        message.fields.emplace_back(line->substr(0, colon), value == std::string::npos ? std::string() : line->substr(value));
    }
    return line ? std::optional(std::move(message)) : std::nullopt;
}

bool Connection::readExactly(std::string &part, std::size_t count, Seconds timeLimit)
{
    while (m_buffer.size() < count) {
        if (!fill(timeLimit)) {
            return false;
        }
    }
    part.append(m_buffer, 0, count);
    m_buffer.erase(0, count);
    return true;
}

bool Connection::readChunks(std::string &body, Seconds timeLimit)
{
    for (;;) {
        const auto size = readLine(timeLimit);
        if (!size) {
            return false;
        }
        const auto count = std::strtoul(size->c_str(), nullptr, 16);
        if (!readExactly(body, count, timeLimit) || !readLine(timeLimit)) {
            return false;
        }
        if (count == 0) {
            return true;
        }
    }
}

bool Connection::readBody(Message &message, Seconds timeLimit)
{
    if (message.field("Transfer-Encoding") == "chunked") {
        return readChunks(message.body, timeLimit);
    }
    const auto length = message.field("Content-Length");
    return length.empty() || readExactly(message.body, std::strtoul(length.c_str(), nullptr, 10), timeLimit);
}

std::optional<Message> Connection::read(Seconds timeLimit)
{
    auto message = readHead(timeLimit);
    return message && readBody(*message, timeLimit) ? std::move(message) : std::nullopt;
}

bool Connection::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto count = send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

bool Connection::peerClosed()
{
    char byte = 0;
    const auto count = recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool Connection::sleepWhileOpen(Seconds time)
{
    constexpr Seconds Step{0.02};
    const auto until = Clock::now() + std::chrono::duration_cast<Clock::duration>(time);
    while (Clock::now() < until) {
        if (peerClosed()) {
            return false;
        }
        sleepFor(std::min<Seconds>(Step, until - Clock::now()));
    }
    return true;
}

void Connection::reset()
{
    const linger immediately{.l_onoff = 1, .l_linger = 0};
    setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
    close(m_socket);
    m_socket = -1;
}

bool canListenAt(const Endpoint &endpoint)
{
    const int listener = boundSocket(endpoint);
    if (listener >= 0) {
        close(listener);
    }
    return listener >= 0;
}

int listenAt(const Endpoint &endpoint)
{
    const int listener = boundSocket(endpoint);
    if (listener < 0) {
        std::fprintf(stderr, "%s: can't listen\n", endpoint.text().c_str());
        std::_Exit(2);
    }
    return listener;
}

std::unique_ptr<Connection> connectTo(const Endpoint &endpoint)
{
    const int client = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{.tv_sec = static_cast<time_t>(ConnectTime.count()), .tv_usec = 0};
    setsockopt(client, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    const auto address = socketAddress(endpoint);
    if (connect(client, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        close(client);
        return nullptr;
    }
    return std::make_unique<Connection>(client);
}

void serve(const Endpoint &endpoint, std::function<void(Connection &connection)> handler)
{
    const int listener = listenAt(endpoint);
    std::thread([listener, handler = std::move(handler)] {
        for (;;) {
            const int client = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (client < 0) {
                sleepFor(Seconds(0.01));
                continue;
            }
            std::thread([client, handler] {
                Connection connection(client);
                handler(connection);
            }).detach();
        }
    }).detach();
}

std::string response(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void sleepFor(Seconds time)
{
    std::this_thread::sleep_for(time);
}

}
