#include "processusage.h"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace Galenahill {

namespace {

// Positions of fields in /proc/PID/stat, counted from zero after the closing parenthesis of the
// program name.
constexpr int UserTimeField = 11;
constexpr int ResidentPagesField = 21;

struct Stat
{
    double cpuSeconds = 0;
    double rssMb = 0;
};

Stat readStat(pid_t pid)
{
    std::string text;
    std::getline(std::ifstream(fmt::format("/proc/{}/stat", pid)), text);
    std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 2)));
    Stat stat;
    std::string field;
    for (int position = 0; fields >> field; ++position) {
        if (position == UserTimeField || position == UserTimeField + 1) {
            stat.cpuSeconds += std::stod(field) / static_cast<double>(sysconf(_SC_CLK_TCK));
        } else if (position == ResidentPagesField) {
            stat.rssMb = std::stod(field) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
        }
    }
    return stat;
}

}

ProcessUsage processUsage(Fleet &fleet)
{
    ProcessUsage usage;
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        auto *process = fleet.nodeProcess(node);
        if (process == nullptr || !process->running()) {
            continue;
        }
        const auto stat = readStat(process->pid());
        usage.cpuSeconds += stat.cpuSeconds;
        usage.largestRssMb = std::max(usage.largestRssMb, stat.rssMb);
    }
    usage.at = Clock::now();
    return usage;
}

}
