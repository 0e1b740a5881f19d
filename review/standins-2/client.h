// What a client sends and sees.
#pragma once

#include "record.h"
#include "wire.h"

#include <map>

namespace Review {

// An id that no other request of the run has.
std::string newRequestId();

struct Request
{
    std::string method = "GET";
    std::string host;
    std::string path;
    std::string body;
    std::string cookie;
    int deadlineMs = 0;
    std::string id = newRequestId();

    std::string text() const;
};

// How a request ended for its client: the status, or zero if the connection ended before a complete answer.
struct Ending
{
    int status = 0;
    bool complete = false;
    Seconds time{0};
};

// Sends the request on a connection of its own and waits for the end, at most until the deadline.
Ending sendOnce(const Endpoint &node, const Request &request);

}
