// What the cases have in common.
#pragma once

#include "client.h"
#include "config.h"
#include "fleet.h"
#include "server.h"
#include "store.h"

#include <cmath>
#include <cstdio>

namespace Review {

inline constexpr const char *Host = "orders.example";

inline std::string &recordPath()
{
    static std::string path = "record.txt";
    return path;
}

inline Record &record()
{
    static Record instance(recordPath());
    return instance;
}

// The options of the server on that machine.
inline Server::Options serverOn(const Machine &machine)
{
    Server::Options options;
    options.address = machine.server();
    options.control = machine.control();
    options.id = "i-" + machine.name;
    options.service = machine.service;
    options.zone = machine.zone;
    return options;
}

// Starts a server for the rest of the process.
inline void startServer(Server::Options options)
{
    static std::vector<std::unique_ptr<Server>> servers;
    servers.push_back(std::make_unique<Server>(std::move(options)));
    servers.back()->start();
}

// Whether a disruption that comes again and again is on now: its length, and the pause before it comes again.
inline bool isInWindow(Seconds length, Seconds pause)
{
    return std::fmod(record().now().count(), (length + pause).count()) < length.count();
}

// Runs a case: the first argument of the program is the path of the record. The case returns the exit status.
inline int runCase(int argc, char **argv, const std::function<int(Fleet &fleet, Store &store)> &runDay)
{
    if (argc > 1) {
        recordPath() = argv[1];
    }
    int status = 2;
    {
        Fleet fleet;
        static Store store(fleet.storeEndpoint());
        store.start();
        Fleet::Options options;
        options.store = store.endpoint();
        fleet.setOptions(options);
        status = runDay(fleet, store);
    }
    // The threads of the stand-ins still run.
    std::fflush(stdout);
    std::_Exit(status);
}

}
