#include "adapters/http/blockinghttpclient.h"
#include "childprocess.h"
#include "cli/nodeconnection.h"
#include "fleet.h"
#include "progresslines.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <regex>
#include <set>
#include <sstream>
#include <thread>

// Runs galenahillctl for each case folder against one real node with the platform stand-in as its
// store. A folder COMMAND/CASE holds
//
//   args       arguments of galenahillctl as one line of shell words; the folder is the working directory
//   exit-code  expected exit code
//   stderr     expected standard error; if missing, nothing may be printed there
//   stdout     expected standard output; if missing, standard output is not checked
//   setup/     files that are applied beforehand, in the order of their names
//   fault      fault mode of the platform stand-in while the command runs, such as "down"
//   late-node  the case runs with two nodes, the second of which is paused for so many milliseconds
//              from the start of the command on
//
// and the files that the arguments name. Of the progress of a revision, which depends on when the client
// looks, standard error holds the last line only. Revision numbers and the runner's apply ids depend on earlier
// cases, so both are written as N, and so is the age of an answer.

namespace {

using namespace Galenahill;
namespace filesystem = std::filesystem;
using nlohmann::json;

constexpr Milliseconds AdminTimeout{2000};

std::string readText(const filesystem::path &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string maskNumbers(const std::string &text)
{
    static const std::regex revisions("(revisions?) [0-9]+( to [0-9]+)?");
    static const std::regex applies("runner-[0-9]+");
    static const std::regex ages("[0-9]+ ms old");
    return std::regex_replace(std::regex_replace(std::regex_replace(text, revisions, "$1 N"), applies, "runner-N"), ages, "N ms old");
}

class CaseRunner
{
public:
    CaseRunner(Fleet &fleet, std::string client, filesystem::path folder)
        : m_fleet(fleet)
        , m_client(std::move(client))
        , m_folder(std::move(folder))
    {
    }

    // Runs one case and returns whether exit code and output are as expected; prints each difference.
    bool run(const filesystem::path &path)
    {
        applySetupFiles(path / "setup");
        setFault(filesystem::exists(path / "fault") ? firstLine(path / "fault") : "none");
        const auto out = m_folder / "stdout";
        const auto errorOutput = m_folder / "stderr";
        filesystem::remove(errorOutput);
        const auto command = fmt::format(
            "cd '{}' && exec '{}' --node={} {} >'{}'", path.string(), m_client, toString(m_fleet.control(0)), firstLine(path / "args"), out.string());
        const int code = runCommand(command, errorOutput.string(), path / "late-node");
        setFault("none");
        removeAll();
        bool passed = checkEqual(path, "exit-code", std::to_string(code), firstLine(path / "exit-code"));
        passed = checkEqual(path, "stderr", maskNumbers(lastProgressOnly(readText(errorOutput))), readText(path / "stderr")) && passed;
        if (filesystem::exists(path / "stdout")) {
            passed = checkEqual(path, "stdout", maskNumbers(readText(out)), readText(path / "stdout")) && passed;
        }
        return passed;
    }

private:
    static std::string firstLine(const filesystem::path &path)
    {
        const auto text = readText(path);
        return text.substr(0, text.find('\n'));
    }

    int runCommand(const std::string &command, const std::string &errorOutput, const filesystem::path &lateNode)
    {
        const bool pauses = filesystem::exists(lateNode);
        if (pauses) {
            m_fleet.nodeProcess(1)->signal(SIGSTOP);
        }
        ChildProcess process({"/bin/sh", "-c", command}, errorOutput);
        if (pauses) {
            std::this_thread::sleep_for(Milliseconds(std::stoi(firstLine(lateNode))));
            m_fleet.nodeProcess(1)->signal(SIGCONT);
        }
        return process.wait();
    }

    static bool checkEqual(const filesystem::path &path, const std::string &what, const std::string &actual, const std::string &expected)
    {
        if (actual != expected) {
            fmt::print(stderr, "{}: {} is\n{}\nexpected\n{}\n", path.string(), what, actual, expected);
        }
        return actual == expected;
    }

    Result<json> applyChange(json params)
    {
        params["apply"] = fmt::format("runner-{}", ++m_changes);
        params["operator"] = "runner";
        return NodeConnection(m_fleet.control(0)).call("apply", params);
    }

    void applySetupFiles(const filesystem::path &folder)
    {
        if (!filesystem::exists(folder)) {
            return;
        }
        const std::set<filesystem::path> files(filesystem::directory_iterator(folder), {});
        for (const auto &file : files) {
            const auto applied = applyChange({{"file", file.filename().string()}, {"text", readText(file)}});
            if (!applied) {
                fmt::print(stderr, "{}: {}\n", file.string(), applied.error().message);
            }
        }
    }

    // A file can't be removed while another file refers to it, so removal is repeated until no file is
    // left, at most 10 times.
    void removeAll()
    {
        for (int round = 0; round < 10; ++round) {
            const auto shown = NodeConnection(m_fleet.control(0)).call("show", json::object());
            if (!shown || shown->at("files").empty()) {
                return;
            }
            for (const auto &file : shown->at("files")) {
                (void)applyChange({{"file", file.at("name")}, {"remove", true}});
            }
        }
    }

    void setFault(const std::string &mode)
    {
        HttpRequest request(http::verb::post, "/admin/fault", 11);
        request.set(http::field::host, "platform");
        request.body() = json{{"mode", mode}}.dump();
        (void)blockingExchange(m_fleet.platform(), std::move(request), AdminTimeout);
    }

    Fleet &m_fleet;
    std::string m_client;
    filesystem::path m_folder;
    int m_changes = 0;
};

}

namespace {

// Runs the cases that do, or do not, need a late node, and returns how many failed.
std::size_t runCases(const std::set<filesystem::path> &cases, bool late, const std::string &programs, const filesystem::path &folder)
{
    Fleet fleet({.programs = programs,
        .folder = folder / (late ? "late-fleet" : "fleet"),
        .nodes = late ? std::size_t(2) : std::size_t(1),
        .dataCentres = {"rosario-a"},
        .services = {{.name = "ventas"}},
        .targets = false});
    if (const auto started = fleet.start(); !started) {
        fmt::print(stderr, "{}\n", started.error().message);
        return cases.size();
    }
    CaseRunner runner(fleet, programs + "/src/galenahillctl", folder);
    return static_cast<std::size_t>(
        std::count_if(cases.begin(), cases.end(), [&](const auto &path) { return filesystem::exists(path / "late-node") == late && !runner.run(path); }));
}

}

int main(int argc, const char **argv)
{
    if (argc != 4) {
        fmt::print(stderr, "usage: caserunner PROGRAMS CASES FOLDER\n");
        return 2;
    }
    std::set<filesystem::path> cases;
    for (const auto &entry : filesystem::recursive_directory_iterator(argv[2])) {
        if (entry.path().filename() == "args") {
            cases.insert(entry.path().parent_path());
        }
    }
    const auto failed = runCases(cases, false, argv[1], argv[3]) + runCases(cases, true, argv[1], argv[3]);
    fmt::print("{} cases, {} failed\n", cases.size(), failed);
    return failed == 0 && !cases.empty() ? 0 : 1;
}
