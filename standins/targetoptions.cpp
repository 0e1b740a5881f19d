#include "targetoptions.h"

#include <fmt/format.h>
#include <popt.h>

namespace Galenahill {

std::optional<TargetOptions> parseTargetOptions(int argc, const char **argv)
{
    char *address = nullptr;
    int port = 9000;
    int slots = 6;
    int serviceMicroseconds = 2000;
    double lateShare = 0;
    double lateFactor = 10;
    long long seed = 1;
    int coldStart = 0;
    int backlog = 0;
    int connections = 4096;
    int logRuns = 0;
    char *announce = nullptr;
    char *announceAs = nullptr;
    char *sample = nullptr;
    char *id = nullptr;
    char *service = nullptr;
    char *dataCentre = nullptr;
    char *keyMarker = nullptr;
    char *nestedThrough = nullptr;
    char *nestedHost = nullptr;
    char *nestedPath = nullptr;
    double nestedShare = 0;
    char *fatalMarker = nullptr;
    const poptOption table[] = {
        {"address", 'a', POPT_ARG_STRING, &address, 0, "IP address to listen on", "IP"},
        {"port", 'p', POPT_ARG_INT, &port, 0, "Port to listen on", "PORT"},
        {"slots", 's', POPT_ARG_INT, &slots, 0, "Number of calls that run at once", "N"},
        {"service-us", 't', POPT_ARG_INT, &serviceMicroseconds, 0, "Service time of a call", "MICROSECONDS"},
        {"late-share", 0, POPT_ARG_DOUBLE, &lateShare, 0, "Share of the calls that take longer; above zero, service times are random", "SHARE"},
        {"late-factor", 0, POPT_ARG_DOUBLE, &lateFactor, 0, "Factor by which these calls take longer", "FACTOR"},
        {"seed", 0, POPT_ARG_LONGLONG, &seed, 0, "Seed of the service times", "N"},
        {"cold-start-ms", 'c', POPT_ARG_INT, &coldStart, 0, "Time from the start until the target is ready", "MILLISECONDS"},
        {"backlog", 0, POPT_ARG_INT, &backlog, 0, "Maximum number of calls that wait for a slot", "N"},
        {"connections", 0, POPT_ARG_INT, &connections, 0, "Maximum number of open connections", "N"},
        {"announce", 0, POPT_ARG_STRING, &announce, 0, "Registration endpoint of the node to which the target announces itself", "IP:PORT"},
        {"announce-as", 0, POPT_ARG_STRING, &announceAs, 0, "Address to announce; by default the one that it listens on", "IP:PORT"},
        {"heartbeat", 0, POPT_ARG_STRING, &sample, 0, "Sample file of an announcement", "FILE"},
        {"id", 0, POPT_ARG_STRING, &id, 0, "Target id to announce", "ID"},
        {"service", 0, POPT_ARG_STRING, &service, 0, "Service to announce", "NAME"},
        {"data-centre", 0, POPT_ARG_STRING, &dataCentre, 0, "Data centre to announce", "NAME"},
        {"key-marker", 0, POPT_ARG_STRING, &keyMarker, 0, "Text that each customer's key contains", "TEXT"},
        {"nested-through", 0, POPT_ARG_STRING, &nestedThrough, 0, "Ingress for nested calls", "IP:PORT"},
        {"nested-host", 0, POPT_ARG_STRING, &nestedHost, 0, "Host of nested calls", "NAME"},
        {"nested-path", 0, POPT_ARG_STRING, &nestedPath, 0, "Path of nested calls", "PATH"},
        {"nested-share", 0, POPT_ARG_DOUBLE, &nestedShare, 0, "Share of the calls that make a nested one", "SHARE"},
        {"fatal-marker", 0, POPT_ARG_STRING, &fatalMarker, 0, "Text in the path of calls that end the process", "TEXT"},
        {"log-runs", 0, POPT_ARG_NONE, &logRuns, 0, "Write each call that runs to standard error", nullptr},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    poptContext context = poptGetContext("targetstandin", argc, argv, table, 0);
    if (poptGetNextOpt(context) < -1) {
        fmt::print(stderr, "targetstandin: invalid option; see --help\n");
        return std::nullopt;
    }
    TargetOptions options;
    options.address = address == nullptr ? "127.0.0.1" : address;
    options.port = static_cast<std::uint16_t>(port);
    options.slots = static_cast<std::uint32_t>(slots);
    options.serviceTime = std::chrono::microseconds(serviceMicroseconds);
    options.lateShare = lateShare;
    options.lateFactor = lateFactor;
    options.seed = static_cast<std::uint64_t>(seed);
    options.coldStart = Milliseconds(coldStart);
    options.backlog = static_cast<std::uint32_t>(backlog);
    options.connections = static_cast<std::uint32_t>(connections);
    options.logRuns = logRuns != 0;
    const auto text = [](const char *value) { return std::string(value == nullptr ? "" : value); };
    options.registration = endpointOf(text(announce)).value_or(Endpoint());
    options.announcedAs = endpointOf(text(announceAs)).value_or(Endpoint{options.address, options.port});
    options.heartbeatSample = text(sample);
    options.id = text(id);
    options.service = text(service);
    options.dataCentre = text(dataCentre);
    options.keyMarker = text(keyMarker);
    options.nestedThrough = endpointOf(text(nestedThrough)).value_or(Endpoint());
    options.nestedHost = text(nestedHost);
    options.nestedPath = text(nestedPath);
    options.nestedShare = nestedShare;
    options.fatalMarker = text(fatalMarker);
    return options;
}

}
