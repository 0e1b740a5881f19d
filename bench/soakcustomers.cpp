#include "soakcustomers.h"

#include <fmt/format.h>

namespace Galenahill::SoakCustomers {

namespace {

constexpr const char *SecondKeyOfUno = "soak-key-uno-b";
constexpr const char *KeyOfDos = "soak-key-dos-a";
constexpr const char *AnonymousPath = "/abierto/1";

// Timeouts of the route whose timeout changes between revisions, of large responses, and of the others.
constexpr double ShortTimeoutSeconds = 1.2;
constexpr double TimeoutSeconds = 1.5;
constexpr double DownloadTimeoutSeconds = 4;
constexpr Milliseconds ShortTimeout{1200};
constexpr Milliseconds Timeout{1500};
constexpr Milliseconds DownloadTimeout{4000};

constexpr int TemporaryRouteEvery = 3;

constexpr const char *ShortDownload = "/descarga/1?bytes=40000";
constexpr std::size_t ShortBytes = 40000;
// Mean and maximum of the large responses that docs/design/hard-load.md expects.
constexpr const char *MeanDownload = "/descarga/1?bytes=90000";
constexpr std::size_t MeanBytes = 90000;
constexpr std::size_t LongBytes = 540000;

}

bool hasTemporaryRoute(int revision)
{
    return revision % TemporaryRouteEvery != 0;
}

std::vector<SampleRoute> routes(int revision)
{
    std::vector<SampleRoute> routes = {{.name = "cola", .service = "tablero", .timeoutSeconds = revision % 2 == 0 ? ShortTimeoutSeconds : TimeoutSeconds},
        {.name = "orden", .service = "ventas", .idempotent = false},
        {.name = "descarga", .service = "ventas", .timeoutSeconds = DownloadTimeoutSeconds, .largeResponses = true},
        {.name = "abierto", .service = "tablero", .anonymous = true},
        {.name = fmt::format("r{}", revision), .service = "tablero"}};
    if (hasTemporaryRoute(revision)) {
        routes.push_back({.name = "vaiven", .service = "tablero"});
    }
    return routes;
}

std::map<std::string, Milliseconds> routeTimeouts()
{
    return {{"/cola/1", ShortTimeout},
        {"/orden/1", Timeout},
        {AnonymousPath, Timeout},
        {TemporaryPath, Timeout},
        {ShortDownload, DownloadTimeout},
        {MeanDownload, DownloadTimeout},
        {LargestPath, DownloadTimeout}};
}

std::vector<SampleCustomer> customers(int revision)
{
    SampleCustomer dos{.name = "dos", .keys = {KeyOfDos}, .priority = 2};
    if (revision == 1) {
        dos.keys.emplace_back(RevokedKey);
    }
    return {{.name = "uno", .keys = {ValidKey, SecondKeyOfUno}, .priority = 0}, dos};
}

std::vector<LoadGenerator::CallKind> callKinds()
{
    return {{.method = "GET", .path = "/cola/1", .weight = 6, .key = ValidKey},
        {.method = "GET", .path = "/cola/1", .weight = 3, .key = SecondKeyOfUno},
        {.method = "GET", .path = "/cola/1", .weight = 2, .key = KeyOfDos},
        {.method = "POST", .path = "/orden/1", .idempotent = false, .weight = 8, .key = KeyOfDos},
        {.method = "POST", .path = "/orden/1", .idempotent = false, .weight = 3, .key = ValidKey},
        {.method = "GET", .path = TemporaryPath, .weight = 2, .key = ValidKey},
        {.method = "GET", .path = ShortDownload, .weight = 4, .key = ValidKey, .responseBytes = ShortBytes},
        {.method = "GET", .path = MeanDownload, .weight = 2, .key = KeyOfDos, .responseBytes = MeanBytes},
        {.method = "GET", .path = LargestPath, .weight = 2, .key = ValidKey, .responseBytes = LongBytes},
        {.method = "POST", .path = "/orden/1", .idempotent = false, .key = RevokedKey},
        {.method = "POST", .path = "/orden/1", .idempotent = false, .key = UnknownKey},
        {.method = "GET", .path = "/cola/1", .key = UnknownKey},
        {.method = "GET", .path = "/cola/1"},
        {.method = "GET", .path = AnonymousPath}};
}

std::map<std::string, std::string> customerOfKey()
{
    return {{ValidKey, "uno"}, {SecondKeyOfUno, "uno"}, {KeyOfDos, "dos"}, {RevokedKey, "dos"}};
}

bool isAccepted(const CallRecord &call)
{
    return call.path == AnonymousPath || (!call.key.empty() && call.key != UnknownKey && call.key != RevokedKey);
}

}
