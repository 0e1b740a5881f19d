#include "adapters/codec/binarycodec.h"
#include "adapters/codec/deltacodec.h"
#include "core/calls/routingview.h"
#include "core/calls/servicelevelmetrics.h"
#include "core/config/configbundle.h"
#include "core/config/contenthash.h"
#include "core/fleet/membership.h"
#include "experiments.h"

#include <fmt/format.h>
#include <malloc.h>
#include <nlohmann/json.hpp>

namespace Galenahill {

namespace {

using Line = nlohmann::ordered_json;

constexpr std::size_t Services = 26;
constexpr std::size_t DataCentres = 5;

std::size_t heapBytes()
{
    return mallinfo2().uordblks + mallinfo2().hblkhd;
}

// Average time of one run of the work, in microseconds.
template <typename Work>
double microseconds(std::size_t runs, const Work &work)
{
    const auto begin = Clock::now();
    for (std::size_t run = 0; run < runs; ++run) {
        work();
    }
    return std::chrono::duration<double, std::micro>(Clock::now() - begin).count() / static_cast<double>(runs);
}

MemberRecord member(std::size_t index)
{
    MemberRecord record;
    record.name = NodeName(fmt::format("dc{}-vm-{:04}", index % DataCentres, index));
    record.dataCentre = DataCentre(fmt::format("rosario-{}", index % DataCentres));
    record.service = ServiceName(fmt::format("service-{:02}", index % Services));
    record.address = fmt::format("10.{}.{}.{}", index % DataCentres, index / 250, 1 + index % 250);
    record.ingressPort = 8080;
    record.sidecarPort = 8081;
    record.controlPort = 8082;
    record.incarnation = 1796257195759 + index;
    record.state = MemberState::Ready;
    return record;
}

std::vector<MemberRecord> members(std::size_t count)
{
    std::vector<MemberRecord> records;
    for (std::size_t i = 0; i < count; ++i) {
        records.push_back(member(i));
    }
    return records;
}

// Returns that many configuration files with two services and eight routes each.
std::vector<ConfigFile> configFiles(std::size_t count)
{
    std::vector<ConfigFile> files;
    for (std::size_t file = 0; file < count; ++file) {
        std::string text = "; Written by copying an example.\n";
        for (int service = 0; service < 2; ++service) {
            const auto name = fmt::format("service-{:03}-{}", file, service);
            text += fmt::format("\n[service {}]\ndata-centres = rosario-a, rosario-b, cordoba-a\nslots = 6\nconnections = 120\n", name);
            for (int route = 0; route < 4; ++route) {
                text += fmt::format("\n; What the route is for, in a sentence.\n[route {}-{}]\npath = /{}/part-{}\nmethods = GET, HEAD\nservice = {}\n"
                                    "idempotent = yes\ntimeout-ms = 1000\nretries = 2\nslo-availability = 99.9\nslo-latency-ms = 100\n",
                    name,
                    route,
                    name,
                    route,
                    name);
            }
        }
        files.push_back({FileName(fmt::format("file-{:03}.ini", file)), std::move(text)});
    }
    return files;
}

ConfigBundle bundleOf(std::vector<ConfigFile> files, std::uint64_t revision)
{
    ConfigBundle bundle;
    bundle.manifest.revision = Revision(revision);
    for (const auto &file : files) {
        bundle.manifest.files.emplace(file.name, contentHash(file.text));
    }
    bundle.files = std::move(files);
    return bundle;
}

Line membershipLine(std::size_t count)
{
    std::size_t sentBytes = 0;
    std::size_t sent = 0;
    std::vector<GossipMessage> last;
    Membership::Options options;
    options.self = member(count);
    options.send = [&](const Endpoint &, const GossipMessage &message) {
        sentBytes += encode(message).size();
        ++sent;
        last.push_back(message);
    };
    options.changed = [] {};
    options.revision = [] { return Revision(1); };
    options.revisionAdvertised = [](const Endpoint &, Revision) {};
    const auto records = members(count);
    const auto before = heapBytes();
    Membership membership(std::move(options));
    auto now = TimePoint() + std::chrono::hours(1);
    membership.merge(records, now);
    const auto heap = heapBytes() - before;
    const auto tick = microseconds(200, [&] { membership.tick(now += Milliseconds(50)); });
    const auto datagram = last.back();
    const auto receive = microseconds(200, [&] { membership.receive(records.front().control(), datagram, now); });
    return {{"members", count},
        {"heap_bytes", heap},
        {"tick_us_with_news", tick},
        {"receive_us", receive},
        {"datagram_bytes_with_news", sent == 0 ? 0 : sentBytes / sent},
        {"datagram_bytes_idle", encode(GossipMessage{.kind = GossipKind::Ping, .sequence = 1, .revision = Revision(1)}).size()},
        {"member_list_bytes", encode(records).size()},
        {"member_list_zstd_bytes", compressDelta(encode(records), {}).size()}};
}

Line routingLine(std::size_t count, const std::shared_ptr<const ConfigRevision> &config)
{
    auto records = members(count);
    for (std::size_t i = 0; i < count; ++i) {
        records[i].service = config->snapshot->services()[i % Services].name;
    }
    std::shared_ptr<const RoutingView> view;
    const auto before = heapBytes();
    view = RoutingView::build(config, records);
    const auto heap = heapBytes() - before;
    const auto build = microseconds(50, [&] { view = RoutingView::build(config, records); });
    return {{"members", count}, {"heap_bytes", heap}, {"build_us", build}};
}

Line configurationLine(std::size_t count)
{
    const auto files = configFiles(count);
    auto changed = files;
    changed[count / 2].text += "\n; one line more\n";
    const auto before = heapBytes();
    const auto revision = ConfigRevision::fromBundle(bundleOf(files, 7));
    const auto heap = heapBytes() - before;
    const auto validate = microseconds(5, [&] { (void)ConfigSnapshot::validate(files); });
    const auto old = encode((*revision)->bundle);
    const auto updated = encode(bundleOf(changed, 8));
    std::string delta;
    const auto compress = microseconds(5, [&] { delta = compressDelta(updated, old); });
    const auto expand = microseconds(5, [&] { (void)expandDelta(delta, old); });
    const auto &snapshot = *(*revision)->snapshot;
    const auto &route = snapshot.routes().back();
    const auto lookup = microseconds(2000, [&] { (void)snapshot.route("GET", route.path); });
    return {{"files", count},
        {"routes", snapshot.routes().size()},
        {"bundle_bytes", old.size()},
        {"head_bytes", (*revision)->bundle.manifest.toJson().size()},
        {"heap_bytes", heap},
        {"validate_us", validate},
        {"delta_bytes", delta.size()},
        {"whole_zstd_bytes", compressDelta(updated, {}).size()},
        {"compress_us", compress},
        {"expand_us", expand},
        {"route_lookup_us", lookup}};
}

Line metricsLine(std::size_t routes)
{
    const auto before = heapBytes();
    ServiceLevelMetrics metrics;
    RouteDefinition route;
    route.sloLatency = Milliseconds(100);
    for (std::size_t i = 0; i < routes; ++i) {
        route.name = RouteName(fmt::format("route-{}", i));
        metrics.record(route, CallResult::Answered, std::chrono::milliseconds(3), Clock::now());
    }
    const auto heap = heapBytes() - before;
    const auto record = microseconds(10000, [&] { metrics.record(route, CallResult::Answered, std::chrono::milliseconds(3), Clock::now()); });
    return {{"routes", routes}, {"heap_bytes", heap}, {"record_us", record}};
}

void print(const ExperimentOptions &options, const std::string &part, const Line &figures)
{
    Line line = {{"bench", "slopes"}, {"commit", options.commit}, {"part", part}};
    line.update(figures);
    fmt::print("{}\n", line.dump());
}

}

bool runSlopes(const ExperimentOptions &options)
{
    for (const std::size_t count : {100, 200, 400, 1100, 2200}) {
        print(options, "membership", membershipLine(count));
    }
    const auto config = ConfigRevision::fromBundle(bundleOf(configFiles(Services), 1));
    for (const std::size_t count : {100, 400, 1100, 2200}) {
        print(options, "routing-view", routingLine(count, *config));
    }
    for (const std::size_t count : {13, 50, 200, 400}) {
        print(options, "configuration", configurationLine(count));
    }
    for (const std::size_t count : {10, 100, 400}) {
        print(options, "metrics", metricsLine(count));
    }
    return true;
}

}
