// Stand-in for an application server: announces itself to the node on its machine, answers health checks, and runs requests.
#pragma once

#include "record.h"
#include "wire.h"

#include <atomic>

namespace Review {

class Server
{
public:
    struct Options
    {
        Endpoint address;
        // The node's address for heartbeats.
        Endpoint control;
        std::string id;
        std::string service;
        std::string zone;
        std::string version = "v1";
        int slots = 6;
        Seconds beatInterval{1.5};
        // Runs a request that is meant for this server and sends the answer. False closes the connection.
        std::function<bool(const Server &self, const Message &request, Connection &connection)> run;
        // Answers a health check; if not set, the server is well.
        std::function<bool(const Server &self, Connection &connection)> health;
    };

    explicit Server(Options options);
    // Listens and begins to send heartbeats.
    void start();
    const Options &options() const;

    // Fields that an answer of this server to the request has.
    std::string answerFields(const Message &request) const;
    // A complete answer with that status and body.
    std::string answer(const Message &request, const std::string &body, int status = 200) const;

private:
    void handle(Connection &connection);
    bool respond(const Message &request, Connection &connection);
    void sendBeats();
    bool sendBeat(int sequence);

    Options m_options;
    long long m_born = 0;
};

}
