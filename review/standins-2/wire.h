// HTTP/1.1 over blocking sockets, as far as the stand-ins of this folder need it.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace Review {

using Clock = std::chrono::steady_clock;
using Seconds = std::chrono::duration<double>;

struct Endpoint
{
    std::string address;
    int port = 0;

    std::string text() const
    {
        return address + ":" + std::to_string(port);
    }
};

// A request or a response. The start line of a request is "GET /path HTTP/1.1".
struct Message
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    // The value of the field; empty if there is none.
    std::string field(std::string_view name) const;
    std::string method() const;
    std::string target() const;
    int status() const;
};

// A connected socket with its read buffer.
class Connection
{
public:
    explicit Connection(int socket);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    // Reads the header of a message; nothing if the connection ends, fails or is silent for that time.
    std::optional<Message> readHead(Seconds timeLimit);
    // Reads the body that the header states; false if the connection ends or is silent before its end.
    bool readBody(Message &message, Seconds timeLimit);
    std::optional<Message> read(Seconds timeLimit);
    bool write(std::string_view bytes);
    // Whether the peer has closed or reset the connection.
    bool peerClosed();
    // Waits that long, or until the peer closes; returns false in the latter case.
    bool sleepWhileOpen(Seconds time);
    // Ends the connection with a reset.
    void reset();

private:
    bool fill(Seconds timeLimit);
    bool readExactly(std::string &part, std::size_t count, Seconds timeLimit);
    bool readChunks(std::string &body, Seconds timeLimit);
    std::optional<std::string> readLine(Seconds timeLimit);

    int m_socket;
    std::string m_buffer;
};

// A socket that listens there; exits with status 2 if the address can't be used.
int listenAt(const Endpoint &endpoint);
bool canListenAt(const Endpoint &endpoint);
// A connection to the endpoint; null if there is none within a second.
std::unique_ptr<Connection> connectTo(const Endpoint &endpoint);

// Accepts connections and handles each in a thread of its own, for the rest of the process.
void serve(const Endpoint &endpoint, std::function<void(Connection &connection)> handler);

std::string response(int status, const std::string &fields, const std::string &body);

void sleepFor(Seconds time);

}
