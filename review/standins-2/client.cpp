#include "client.h"

#include <atomic>
#include <cstdio>
#include <random>

namespace Review {

std::string newRequestId()
{
    static const unsigned run = std::random_device()();
    static std::atomic<unsigned> next{1};
    char id[32];
    std::snprintf(id, sizeof(id), "%08x%08x", run, next++);
    return id;
}

std::string Request::text() const
{
    auto head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nGalenahill-Request-Id: " + id + "\r\n";
    if (deadlineMs > 0) {
        head += "Galenahill-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
    }
    if (!cookie.empty()) {
        head += "Cookie: " + cookie + "\r\n";
    }
    if (method != "GET") {
        head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return head + "\r\n" + body;
}

Ending sendOnce(const Endpoint &node, const Request &request)
{
    const auto begin = Clock::now();
    const auto left = [&] { return Seconds(request.deadlineMs / 1000.0) - (Clock::now() - begin); };
    Ending ending;
    const auto connection = connectTo(node);
    if (connection && connection->write(request.text())) {
        if (auto head = connection->readHead(left())) {
            ending.status = head->status();
            ending.complete = connection->readBody(*head, left());
        }
    }
    ending.time = Clock::now() - begin;
    return ending;
}

}
