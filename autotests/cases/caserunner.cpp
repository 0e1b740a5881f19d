#include "adapters/http/blockinghttpclient.h"
#include "childprocess.h"
#include "cli/nodeconnection.h"
#include "fleet.h"

#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <regex>
#include <set>
#include <sstream>

// Runs the case folders against one real node over the platform stand-in. A
// folder COMMAND/CASE holds
//
//   args       galenahillctl's arguments as one line of shell words, given in
//              the folder
//   exit-code  the exit code that must come
//   stderr     what must come on standard error; nothing if missing
//   stdout     what must come on standard output; not looked at if missing
//   setup/     files that are applied before, in the order of their names
//   fault      the stand-in's fault while the command runs, such as "down"
//
// and whatever files the arguments name. Numbers of revisions and of the
// runner's own applies depend on the cases before; they stand as N.

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

std::string withoutNumbers(const std::string &text)
{
    static const std::regex revisions("(revisions?) [0-9]+( to [0-9]+)?");
    static const std::regex applies("runner-[0-9]+");
    return std::regex_replace(std::regex_replace(text, revisions, "$1 N"), applies, "runner-N");
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

    // Whether the case came out as its files say; prints what didn't.
    bool run(const filesystem::path &path)
    {
        setUp(path / "setup");
        setFault(filesystem::exists(path / "fault") ? firstLine(path / "fault") : "none");
        const auto out = m_folder / "stdout";
        const auto errors = m_folder / "stderr";
        filesystem::remove(errors);
        const auto command = fmt::format(
            "cd '{}' && exec '{}' --node={} {} >'{}'", path.string(), m_client, toString(m_fleet.control(0)), firstLine(path / "args"), out.string());
        const int code = ChildProcess({"/bin/sh", "-c", command}, errors.string()).wait();
        setFault("none");
        removeAll();
        bool good = same(path, "exit-code", std::to_string(code), firstLine(path / "exit-code"));
        good = same(path, "stderr", withoutNumbers(readText(errors)), readText(path / "stderr")) && good;
        if (filesystem::exists(path / "stdout")) {
            good = same(path, "stdout", withoutNumbers(readText(out)), readText(path / "stdout")) && good;
        }
        return good;
    }

private:
    static std::string firstLine(const filesystem::path &path)
    {
        const auto text = readText(path);
        return text.substr(0, text.find('\n'));
    }

    static bool same(const filesystem::path &path, const std::string &what, const std::string &found, const std::string &expected)
    {
        if (found != expected) {
            fmt::print(stderr, "{}: {} is\n{}\nand should be\n{}\n", path.string(), what, found, expected);
        }
        return found == expected;
    }

    Result<json> change(json params)
    {
        params["apply"] = fmt::format("runner-{}", ++m_changes);
        params["operator"] = "runner";
        return NodeConnection(m_fleet.control(0)).call("apply", params);
    }

    void setUp(const filesystem::path &folder)
    {
        if (!filesystem::exists(folder)) {
            return;
        }
        const std::set<filesystem::path> files(filesystem::directory_iterator(folder), {});
        for (const auto &file : files) {
            const auto applied = change({{"file", file.filename().string()}, {"text", readText(file)}});
            if (!applied) {
                fmt::print(stderr, "{}: {}\n", file.string(), applied.error().message);
            }
        }
    }

    // A file that another refers to can't go before that one, so rounds are
    // made until none is left.
    void removeAll()
    {
        for (int round = 0; round < 10; ++round) {
            const auto shown = NodeConnection(m_fleet.control(0)).call("show", json::object());
            if (!shown || shown->at("files").empty()) {
                return;
            }
            for (const auto &file : shown->at("files")) {
                (void)change({{"file", file.at("name")}, {"remove", true}});
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

int main(int argc, const char **argv)
{
    if (argc != 4) {
        fmt::print(stderr, "usage: caserunner PROGRAMS CASES FOLDER\n");
        return 2;
    }
    const std::string programs = argv[1];
    const filesystem::path folder = argv[3];
    Fleet fleet(
        {.programs = programs, .folder = folder / "fleet", .nodes = 1, .dataCentres = {"rosario-a"}, .services = {{.name = "ventas"}}, .targets = false});
    if (const auto started = fleet.start(); !started) {
        fmt::print(stderr, "{}\n", started.error().message);
        return 1;
    }
    CaseRunner runner(fleet, programs + "/src/galenahillctl", folder);
    std::set<filesystem::path> cases;
    for (const auto &entry : filesystem::recursive_directory_iterator(argv[2])) {
        if (entry.path().filename() == "args") {
            cases.insert(entry.path().parent_path());
        }
    }
    std::size_t failed = 0;
    for (const auto &path : cases) {
        failed += runner.run(path) ? 0 : 1;
    }
    fmt::print("{} cases, {} failed\n", cases.size(), failed);
    return failed == 0 && !cases.empty() ? 0 : 1;
}
