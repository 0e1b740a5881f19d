#include "cli/commands.h"
#include "cli/manualpage.h"
#include "core/config/nearestname.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <popt.h>

namespace {

using namespace Galenahill;

constexpr int ExitUsage = 2;
constexpr int MaxWaitSeconds = 3600;
constexpr const char *Version = "0.1.0";
constexpr const char *DefaultNode = "127.0.0.1:8082";

int usageError(const std::string &message)
{
    fmt::print(stderr, "galenahillctl: {}; see galenahillctl --help\n", message);
    return ExitUsage;
}

std::string commandList()
{
    std::string list = "COMMAND [OPTIONS]\n\nCommands:\n";
    for (const auto &[name, command] : commands()) {
        list += fmt::format("  {:<14} {}\n", command.synopsis, command.description);
    }
    return list + "\nOptions:";
}

// Returns the long name of the option for which popt returns the value.
const char *optionName(const poptOption *table, int value)
{
    while (table->val != value) {
        ++table;
    }
    return table->longName;
}

// Returns a copy of an option's text, which popt owns, or the fallback if the option was not given.
std::string valueOr(const char *value, const std::string &fallback)
{
    return value == nullptr ? fallback : value;
}

// Prints the manual page of the command, or the list of commands and options if none is given.
int printHelp(poptContext context, const poptOption *table, const std::string &command)
{
    if (command.empty()) {
        poptPrintHelp(context, stdout, 0);
        return 0;
    }
    std::vector<OptionHelp> options;
    for (const auto *entry = table; entry->longName != nullptr; ++entry) {
        options.push_back({entry->longName, entry->shortName, valueOr(entry->argDescrip, ""), entry->descrip, entry->val == 0});
    }
    const auto page = manualPage(command, options);
    if (!page) {
        return usageError(page.error().message);
    }
    fmt::print("{}", *page);
    return 0;
}

// Runs the command after checking that it accepts the given options and number of arguments.
int run(const std::string &name, const CommandOptions &options, const std::vector<std::string> &used)
{
    const auto command = commands().find(name);
    if (command == commands().end()) {
        std::vector<std::string> names;
        for (const auto &[known, ignored] : commands()) {
            names.push_back(known);
        }
        return usageError(fmt::format("{}: no such command{}", name, suggestion(name, names)));
    }
    if (options.arguments.size() < command->second.minArguments || options.arguments.size() > command->second.maxArguments) {
        return usageError(fmt::format("usage: galenahillctl {}", command->second.synopsis));
    }
    for (const auto &option : used) {
        const auto &known = command->second.options;
        if (std::find(known.begin(), known.end(), option) == known.end()) {
            return usageError(fmt::format("--{}: not an option of '{}'", option, name));
        }
    }
    try {
        const auto result = command->second.run(options);
        if (result) {
            return 0;
        }
        fmt::print(stderr, "{}\n", result.error().message);
        return exitCode(result.error().kind);
    } catch (const nlohmann::json::exception &error) {
        fmt::print(stderr, "unexpected response from the node ({}); use a galenahillctl of the node's version\n", error.what());
        return exitCode(ErrorKind::Corrupt);
    }
}

}

int main(int argc, const char **argv)
{
    char *node = nullptr;
    char *name = nullptr;
    char *applyId = nullptr;
    char *basedOn = nullptr;
    char *operatorName = nullptr;
    char *plot = nullptr;
    int json = 0;
    int wait = 0;
    int waitSeconds = 30;
    int showVersion = 0;
    int showHelp = 0;
    char *revision = nullptr;
    // Options that only some commands accept have a nonzero value, which popt returns when it meets
    // the option; general options have zero.
    const poptOption table[] = {
        {"node", 'n', POPT_ARG_STRING, &node, 0, "Control address of a node (default: $GALENAHILL_NODE, else 127.0.0.1:8082)", "IP:PORT"},
        {"json", 'j', POPT_ARG_NONE, &json, 0, "Print JSON", nullptr},
        {"name", 0, POPT_ARG_STRING, &name, 1, "Name under which the file is applied (default: its base name)", "NAME"},
        {"apply-id", 0, POPT_ARG_STRING, &applyId, 2, "Id of this apply; repeat it to repeat an apply safely", "ID"},
        {"based-on", 0, POPT_ARG_STRING, &basedOn, 3, "Hash of the content that was edited; refused if another is in force", "HASH"},
        {"operator", 0, POPT_ARG_STRING, &operatorName, 4, "Who applies (default: $USER)", "NAME"},
        {"revision", 0, POPT_ARG_STRING, &revision, 8, "A revision's number; for diff also two as A..B", "N"},
        {"plot", 0, POPT_ARG_STRING, &plot, 5, "burn: write a plot as an HTML page", "FILE"},
        {"wait", 'w', POPT_ARG_NONE, &wait, 6, "Wait until the revision is in force on every node", nullptr},
        {"wait-seconds", 0, POPT_ARG_INT, &waitSeconds, 7, "Longest wait (default: 30)", "SECONDS"},
        {"version", 'V', POPT_ARG_NONE, &showVersion, 0, "Print the version and exit", nullptr},
        {"help", '?', POPT_ARG_NONE, &showHelp, 0, "Print help on the command, or this list, and exit", nullptr},
        POPT_TABLEEND,
    };
    poptContext context = poptGetContext("galenahillctl", argc, argv, table, 0);
    const auto help = commandList();
    poptSetOtherOptionHelp(context, help.c_str());
    std::vector<std::string> used;
    int parsed = 0;
    while ((parsed = poptGetNextOpt(context)) > 0) {
        used.emplace_back(optionName(table, parsed));
    }
    if (parsed < -1) {
        return usageError(fmt::format("{}: {}", poptBadOption(context, POPT_BADOPTION_NOALIAS), poptStrerror(parsed)));
    }
    if (showVersion != 0) {
        fmt::print("galenahillctl {}\n", Version);
        return 0;
    }
    const char *commandName = poptGetArg(context);
    if (commandName == nullptr && showHelp == 0) {
        return usageError("no command given");
    }
    const std::string command = valueOr(commandName, "");
    if (showHelp != 0) {
        return printHelp(context, table, command);
    }
    CommandOptions options;
    while (const char *argument = poptGetArg(context)) {
        options.arguments.emplace_back(argument);
    }
    const auto address = valueOr(node, valueOr(std::getenv("GALENAHILL_NODE"), DefaultNode));
    const auto endpoint = endpointOf(address);
    if (!endpoint) {
        return usageError(fmt::format("--node={}: give IP:PORT of a node's control address", address));
    }
    if (waitSeconds < 1 || waitSeconds > MaxWaitSeconds) {
        return usageError(fmt::format("--wait-seconds={}: give 1 to {}", waitSeconds, MaxWaitSeconds));
    }
    options.node = *endpoint;
    options.name = valueOr(name, "");
    options.applyId = valueOr(applyId, "");
    options.basedOn = valueOr(basedOn, "");
    options.plot = valueOr(plot, "");
    options.revision = valueOr(revision, "");
    options.operatorName = valueOr(operatorName, valueOr(std::getenv("USER"), "unknown"));
    options.json = json != 0;
    options.wait = wait != 0;
    options.waitTime = std::chrono::seconds(waitSeconds);
    poptFreeContext(context);
    return run(command, options, used);
}
