#pragma once

#include "adapters/http/httpclient.h"
#include "adapters/http/httpserver.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <future>
#include <optional>
#include <sys/socket.h>
#include <thread>

namespace Galenahill {

// How long a test waits for an expected event; generous, for busy machines.
inline constexpr Milliseconds TestTimeout{30000};

// The loopback address of a test program's server with that number. Programs that may run at the same
// time use different numbers.
inline std::string testAddress(int number)
{
    const char *network = std::getenv("GALENAHILL_TEST_NETWORK");
    return "127." + std::string(network == nullptr ? "20" : network) + ".250." + std::to_string(number);
}

// A server that runs on its own thread.
class RunningServer
{
public:
    explicit RunningServer(HttpServer::Options options)
        : m_guard(asio::make_work_guard(m_context))
        , m_server(m_context, std::move(options))
    {
        if (const auto listening = m_server.listen(); !listening) {
            throw std::runtime_error(listening.error().message);
        }
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~RunningServer()
    {
        m_context.stop();
        m_thread.join();
    }

    asio::io_context &context()
    {
        return m_context;
    }

    // Runs the function on the server's thread and returns its result.
    template <typename Function>
    auto invoke(Function function)
    {
        std::packaged_task<decltype(function(m_server))()> task([&] { return function(m_server); });
        auto result = task.get_future();
        asio::post(m_context, [&task] { task(); });
        return result.get();
    }

    // Waits until the condition on the server holds; false if the time is up.
    template <typename Condition>
    bool waitUntil(Condition condition)
    {
        const auto end = Clock::now() + TestTimeout;
        while (Clock::now() < end) {
            if (invoke(condition)) {
                return true;
            }
            std::this_thread::sleep_for(Milliseconds(5));
        }
        return false;
    }

private:
    asio::io_context m_context{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_guard;
    HttpServer m_server;
    std::thread m_thread;
};

// A client that sends arbitrary bytes.
class RawClient
{
public:
    // A receive buffer of zero bytes leaves its size to the system.
    explicit RawClient(const Endpoint &endpoint, int receiveBuffer = 0)
        : m_socket(m_context)
    {
        m_socket.open(Tcp::v4());
        if (receiveBuffer > 0) {
            m_socket.set_option(asio::socket_base::receive_buffer_size(receiveBuffer));
        }
        m_socket.connect(Tcp::endpoint(asio::ip::make_address(endpoint.address), endpoint.port));
        const timeval limit{TestTimeout.count() / 1000, 0};
        setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    }

    // Sends the bytes; false if the connection failed.
    bool send(std::string_view bytes)
    {
        ErrorCode error;
        asio::write(m_socket, asio::buffer(bytes), error);
        return !error;
    }

    // Reads up to the end of that text; empty if the server closed first.
    std::string readTo(const std::string &text)
    {
        while (m_received.find(text) == std::string::npos) {
            if (!receive()) {
                return {};
            }
        }
        const auto end = m_received.find(text) + text.size();
        auto result = m_received.substr(0, end);
        m_received.erase(0, end);
        return result;
    }

    // Reads until the server closes; nothing if it doesn't within the time limit.
    std::optional<std::string> readToEnd()
    {
        while (receive()) { }
        return m_closed ? std::optional(m_received) : std::nullopt;
    }

    // Discards that many bytes; false if the server closed first.
    bool skip(std::size_t count)
    {
        while (m_received.size() < count) {
            count -= std::exchange(m_received, {}).size();
            if (!receive()) {
                return false;
            }
        }
        m_received.erase(0, count);
        return true;
    }

    // Discards everything until the server closes; returns the last five bytes.
    std::string skipToEnd()
    {
        while (receive()) {
            const auto surplus = m_received.size() > 5 ? m_received.size() - 5 : 0;
            m_skipped += surplus;
            m_received.erase(0, surplus);
        }
        return m_received;
    }

    // Whether the server has reset the connection.
    bool wasReset() const
    {
        return m_reset;
    }

    std::size_t skipped() const
    {
        return m_skipped;
    }

    // Closes the sending half of the connection.
    void closeSending()
    {
        m_socket.shutdown(Tcp::socket::shutdown_send);
    }

    // Ends both halves of the connection, which wakes a thread that sends.
    void shutdown()
    {
        ErrorCode ignored;
        m_socket.shutdown(Tcp::socket::shutdown_both, ignored);
    }

    void close()
    {
        m_socket.close();
    }

private:
    bool receive()
    {
        char part[16384];
        const auto count = ::recv(m_socket.native_handle(), part, sizeof part, 0);
        if (count > 0) {
            m_received.append(part, static_cast<std::size_t>(count));
        }
        m_reset = count < 0 && errno == ECONNRESET;
        m_closed = count == 0 || m_reset;
        return count > 0;
    }

    asio::io_context m_context;
    Tcp::socket m_socket;
    std::string m_received;
    std::size_t m_skipped = 0;
    bool m_closed = false;
    bool m_reset = false;
};

}
