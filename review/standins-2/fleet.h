// Starts the project's nodes as processes of their own, each with a loopback address and a settings file of its own.
#pragma once

#include "wire.h"

#include <sys/types.h>

namespace Review {

// A machine: a node and the application server beside it.
struct Machine
{
    std::string name;
    std::string zone;
    std::string service;
    std::string address;
    pid_t process = 0;
    int starts = 0;

    Endpoint inbound() const;
    Endpoint outbound() const;
    Endpoint ready() const;
    Endpoint control() const;
    Endpoint server() const;
};

class Fleet
{
public:
    struct Options
    {
        // The program of the deploy file's role.
        std::string program = "target/platform/galenahillnode";
        Endpoint store;
        // Bounds that the settings file takes over.
        double graceSeconds = 6;
        double retryRatio = 0.2;
        int retrySlack = 60;
        double exposeShare = 0.1;
    };

    // An address range of its own for the run, and a temporary folder for settings and logs.
    Fleet();
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    Endpoint storeEndpoint() const;
    void setOptions(Options options);
    Machine &add(const std::string &zone, const std::string &service);
    std::vector<std::unique_ptr<Machine>> &machines();
    // The machine's number, from zero.
    Machine &machine(std::size_t index);

    void start(Machine &machine);
    void startAll();
    void kill(Machine &machine);
    // Whether the node says that it is ready, and waits until all do; false after that time.
    static bool isReady(const Machine &machine);
    bool waitUntilReady(Seconds timeLimit);
    // Whether the process has ended by itself.
    static bool hasEnded(Machine &machine);

private:
    std::string settingsOf(const Machine &machine) const;

    Options m_options;
    std::string m_folder;
    std::string m_network;
    std::vector<std::unique_ptr<Machine>> m_machines;
};

}
