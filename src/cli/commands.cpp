#include "cli/commands.h"

#include "cli/burncommand.h"
#include "cli/customerscommand.h"
#include "cli/diffcommand.h"
#include "cli/explaincommand.h"
#include "cli/localfile.h"
#include "cli/nodeconnection.h"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <chrono>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace Galenahill {

using nlohmann::json;

namespace {

// Maximum number of log files that `explain` accepts: enough for one of each node of a fleet. More
// would not fit on a command line.
constexpr std::size_t MaxLogFiles = 10000;

constexpr Milliseconds PollInterval{200};

// Returns the revision that was in force when the apply id was generated, which is the id's part
// before the first dash. An id without it counts as generated before the first revision, so it can
// only be used while the history still holds every change.
std::uint64_t revisionOfApplyId(const std::string &id)
{
    return parseWholeNumber(id.substr(0, id.find('-'))).value_or(0);
}

Result<std::string> newApplyId(NodeConnection &node)
{
    const auto revision = node.call("revision", json::object());
    if (!revision) {
        return tl::unexpected(revision.error());
    }
    return fmt::format("{}-{}", revision->at("revision").get<std::uint64_t>(), to_string(boost::uuids::random_generator()()));
}

void warnAboutOmittedChanges(const json &result)
{
    for (const auto &change : result.at("left_out")) {
        fmt::print(stderr,
            "warning: {}: the change of revision {} by {} (apply {}) was accepted while the store was outdated and is not in force; check the file and apply "
            "it "
            "again\n",
            change.at("file").get<std::string>(),
            change.at("revision").get<std::uint64_t>(),
            change.at("operator").get<std::string>(),
            change.at("apply").get<std::string>());
    }
}

// Prints the result as JSON if --json is given, else the text.
Result<void> print(const CommandOptions &options, const json &result, const std::string &text)
{
    fmt::print("{}\n", options.json ? result.dump() : text);
    return {};
}

struct FleetProgress
{
    std::size_t inForce = 0;
    std::size_t live = 0;
};

FleetProgress progress(const json &status, std::uint64_t revision)
{
    FleetProgress result;
    for (const auto &node : status.at("nodes")) {
        if (node.at("state") == "gone") {
            continue;
        }
        ++result.live;
        if (node.at("answered").get<bool>() && node.at("revision").get<std::uint64_t>() >= revision) {
            ++result.inForce;
        }
    }
    return result;
}

Result<void> waitUntilInForce(const CommandOptions &options, std::uint64_t revision)
{
    NodeConnection node(options.node);
    const auto deadline = Clock::now() + options.waitTime;
    FleetProgress last;
    while (Clock::now() < deadline) {
        const auto status = node.call("status", json::object());
        if (!status) {
            return tl::unexpected(status.error());
        }
        last = progress(*status, revision);
        fmt::print(stderr, "revision {} in force on {} of {} nodes\n", revision, last.inForce, last.live);
        if (last.inForce == last.live) {
            return {};
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return failure(ErrorKind::Unavailable, fmt::format("accepted, but in force on {} of {} nodes only; see 'galenahillctl status'", last.inForce, last.live));
}

Result<void> changeFile(const CommandOptions &options, json params)
{
    NodeConnection node(options.node);
    const auto newId = options.applyId.empty() ? newApplyId(node) : Result<std::string>(options.applyId);
    if (!newId) {
        return failure(newId.error().kind, "not accepted: " + newId.error().message);
    }
    const auto &id = *newId;
    params["apply"] = id;
    params["begun_at"] = revisionOfApplyId(id);
    params["repeated"] = !options.applyId.empty();
    params["operator"] = options.operatorName;
    params["based_on"] = options.basedOn;
    auto result = node.call("apply", params);
    if (!result) {
        const bool unknown = result.error().kind == ErrorKind::OutcomeUnknown;
        return failure(result.error().kind,
            unknown ? fmt::format("{}\napply id {}: query the outcome with 'galenahillctl outcome {}', or repeat the command with --apply-id={}",
                result.error().message,
                id,
                id,
                id)
                    : result.error().message);
    }
    (*result)["apply"] = id;
    warnAboutOmittedChanges(*result);
    const auto revision = result->at("revision").get<std::uint64_t>();
    if (options.wait) {
        if (const auto waited = waitUntilInForce(options, revision); !waited) {
            return waited;
        }
    }
    const bool changed = result->at("changed").get<bool>();
    return print(options, *result, fmt::format("{}: revision {} (apply {})", changed ? "accepted" : "unchanged", revision, id));
}

Result<void> apply(const CommandOptions &options)
{
    const auto text = readFile(options.arguments.front());
    if (!text) {
        return tl::unexpected(text.error());
    }
    return changeFile(options, {{"file", configFileName(options)}, {"text", *text}});
}

Result<void> removeFile(const CommandOptions &options)
{
    return changeFile(options, {{"file", options.arguments.front()}, {"remove", true}});
}

Result<void> check(const CommandOptions &options)
{
    const auto text = readFile(options.arguments.front());
    if (!text) {
        return tl::unexpected(text.error());
    }
    const auto result = NodeConnection(options.node).call("check", {{"file", configFileName(options)}, {"text", *text}});
    if (!result) {
        return tl::unexpected(result.error());
    }
    return print(options,
        *result,
        fmt::format(
            "valid with the files in force: {} services, {} routes", result->at("services").get<std::size_t>(), result->at("routes").get<std::size_t>()));
}

Result<void> show(const CommandOptions &options)
{
    json params = json::object();
    if (!options.arguments.empty()) {
        params["file"] = options.arguments.front();
    }
    if (!options.revision.empty()) {
        const auto revision = parseWholeNumber(options.revision);
        if (!revision) {
            return failure(ErrorKind::Invalid, fmt::format("--revision={}: give a revision's number; 'galenahillctl history' lists them", options.revision));
        }
        params["revision"] = *revision;
    }
    const auto result = NodeConnection(options.node).call("show", params);
    if (!result) {
        return tl::unexpected(result.error());
    }
    if (!options.arguments.empty()) {
        auto text = result->at("files").front().at("text").get<std::string>();
        if (text.ends_with('\n')) {
            text.pop_back();
        }
        return print(options, *result, text);
    }
    std::string text = fmt::format("; revision {}", result->at("revision").get<std::uint64_t>());
    for (const auto &file : result->at("files")) {
        text += fmt::format("\n; file {} ({})\n{}", file.at("name").get<std::string>(), file.at("hash").get<std::string>(), file.at("text").get<std::string>());
    }
    return print(options, *result, text);
}

Result<void> status(const CommandOptions &options)
{
    const auto result = NodeConnection(options.node).call("status", json::object());
    if (!result) {
        return tl::unexpected(result.error());
    }
    std::string text = fmt::format("{:<24} {:<14} {:<16} {:<10} {}", "NODE", "DATA CENTRE", "SERVICE", "STATE", "REVISION");
    for (const auto &node : result->at("nodes")) {
        const auto revision = node.at("answered").get<bool>() ? std::to_string(node.at("revision").get<std::uint64_t>()) : std::string("no answer");
        text += fmt::format("\n{:<24} {:<14} {:<16} {:<10} {}",
            node.at("node").get<std::string>(),
            node.at("data_centre").get<std::string>(),
            node.at("service").get<std::string>(),
            node.at("state").get<std::string>(),
            revision);
    }
    const auto asked = result->at("asked").get<std::size_t>();
    const auto answered = result->at("answered").get<std::size_t>();
    text += answered == asked ? fmt::format("\nall {} nodes answered", asked)
                              : fmt::format("\n{} of {} nodes answered; this is a partial view", answered, asked);
    return print(options, *result, text);
}

std::string changeLine(const json &change)
{
    return fmt::format("revision {}  {:%Y-%m-%d %H:%M:%S}Z  {}{}  by {}  (apply {})",
        change.at("revision").get<std::uint64_t>(),
        fmt::gmtime(static_cast<std::time_t>(change.at("time").get<std::int64_t>())),
        change.at("removed").get<bool>() ? "removed " : "",
        change.at("file").get<std::string>(),
        change.at("operator").get<std::string>(),
        change.at("apply").get<std::string>());
}

Result<void> outcome(const CommandOptions &options)
{
    const auto result = NodeConnection(options.node).call("outcome", {{"apply", options.arguments.front()}});
    if (!result) {
        return tl::unexpected(result.error());
    }
    return print(options, *result, "accepted: " + changeLine(*result));
}

Result<void> history(const CommandOptions &options)
{
    const auto result = NodeConnection(options.node).call("history", json::object());
    if (!result) {
        return tl::unexpected(result.error());
    }
    std::string text;
    for (const auto &change : result->at("changes")) {
        text += (text.empty() ? "" : "\n") + changeLine(change);
    }
    return print(options, *result, text.empty() ? "no changes yet" : text);
}

}

const std::map<std::string, Command> &commands()
{
    static const std::map<std::string, Command> all = {
        {"apply",
            {.synopsis = "apply FILE",
                .description = "Applies one whole file",
                .minArguments = 1,
                .maxArguments = 1,
                .options = {"name", "apply-id", "based-on", "operator", "wait", "wait-seconds"},
                .run = apply}},
        {"burn", {"burn", "Shows how fast each route uses up its error budget", 0, 0, {"plot"}, burn}},
        {"check", {"check FILE", "Says whether a file would be accepted now, and changes nothing", 1, 1, {"name"}, check}},
        {"customers", {"customers", "Lists the customers with their limits, keys and calls", 0, 0, {}, customers}},
        {"diff", {"diff [FILE]", "Compares a file with the one in force, or two revisions", 0, 1, {"name", "revision"}, diff}},
        {"explain", {"explain ID [LOG...]", "Tells from nodes' logs what became of a call", 1, MaxLogFiles, {}, explain}},
        {"history", {"history", "Lists the last accepted changes", 0, 0, {}, history}},
        {"outcome", {"outcome ID", "Says whether the apply of that id was accepted", 1, 1, {}, outcome}},
        {"remove",
            {"remove NAME", "Withdraws one file that nothing refers to", 1, 1, {"apply-id", "based-on", "operator", "wait", "wait-seconds"}, removeFile}},
        {"show", {"show [NAME]", "Prints the files in force on the node, or one of them", 0, 1, {"revision"}, show}},
        {"status", {"status", "Lists the nodes with state and revision in force", 0, 0, {}, status}},
    };
    return all;
}

int exitCode(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::Invalid:
        return 1;
    case ErrorKind::Conflict:
        return 3;
    case ErrorKind::Unavailable:
        return 4;
    case ErrorKind::OutcomeUnknown:
        return 5;
    case ErrorKind::NotFound:
        return 6;
    case ErrorKind::Corrupt:
        return 7;
    }
    return 7;
}

}
