#include "experiments.h"

#include <fmt/format.h>
#include <functional>
#include <map>
#include <popt.h>
#include <sstream>

namespace {

using namespace Galenahill;

constexpr int ExitUsage = 2;

std::vector<std::string> splitList(const std::string &list)
{
    std::vector<std::string> result;
    std::istringstream stream(list);
    std::string item;
    while (std::getline(stream, item, ',')) {
        result.push_back(item);
    }
    return result;
}

std::vector<std::size_t> parseNumbers(const std::string &list)
{
    std::vector<std::size_t> result;
    for (const auto &item : splitList(list)) {
        result.push_back(std::strtoul(item.c_str(), nullptr, 10));
    }
    return result;
}

}

int main(int argc, const char **argv)
{
    char *programs = nullptr;
    char *examples = nullptr;
    char *folder = nullptr;
    char *commit = nullptr;
    char *sources = nullptr;
    char *nodes = nullptr;
    char *variants = nullptr;
    long seed = 1;
    int quick = 0;
    const poptOption table[] = {
        {"programs", 0, POPT_ARG_STRING, &programs, 0, "Build folder", "DIR"},
        {"examples", 0, POPT_ARG_STRING, &examples, 0, "Folder with the example files", "DIR"},
        {"folder", 0, POPT_ARG_STRING, &folder, 0, "Folder for settings and logs", "DIR"},
        {"commit", 0, POPT_ARG_STRING, &commit, 0, "Commit to state in the results", "HASH"},
        {"sources", 0, POPT_ARG_STRING, &sources, 0, "Root of the repository", "DIR"},
        {"nodes", 0, POPT_ARG_STRING, &nodes, 0, "Fleet sizes", "N,N,..."},
        {"variants", 0, POPT_ARG_STRING, &variants, 0, "Variants to run; all by default", "NAME,..."},
        {"seed", 0, POPT_ARG_LONG, &seed, 0, "Seed of the random numbers", "N"},
        {"quick", 0, POPT_ARG_NONE, &quick, 0, "Make a shorter run", nullptr},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    const std::map<std::string, std::function<bool(const ExperimentOptions &)>> experiments = {
        {"calls", runCalls},
        {"datapath", runDatapath},
        {"demo", runDemo},
        {"distribution", runDistribution},
        {"faults", runFaults},
        {"slopes", runSlopes},
        {"soak", runSoak},
    };
    poptContext context = poptGetContext("galenahillbench", argc, argv, table, 0);
    poptSetOtherOptionHelp(context, "EXPERIMENT [OPTIONS]");
    const int parsed = poptGetNextOpt(context);
    const char *name = poptGetArg(context);
    const auto experiment = name == nullptr ? experiments.end() : experiments.find(name);
    if (parsed < -1 || experiment == experiments.end()) {
        fmt::print(stderr, "galenahillbench: missing or unknown experiment, or unknown option; see --help\n");
        return ExitUsage;
    }
    const auto text = [](const char *value, const char *fallback) { return std::string(value == nullptr ? fallback : value); };
    ExperimentOptions options;
    options.programs = text(programs, "build");
    options.examples = text(examples, "examples");
    options.folder = text(folder, "results/run");
    options.commit = text(commit, "unknown");
    options.sources = text(sources, ".");
    options.nodes = parseNumbers(text(nodes, ""));
    options.seed = static_cast<std::uint64_t>(seed);
    options.quick = quick != 0;
    options.variants = splitList(text(variants, ""));
    return experiment->second(options) ? 0 : 1;
}
