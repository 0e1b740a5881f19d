#include "adapters/log/jsonlogger.h"

#include <boost/test/unit_test.hpp>
#include <unistd.h>

using namespace Galenahill;

namespace {

// What the function writes to standard output. It must fit into a pipe.
template <typename Function>
std::string outputOf(Function function)
{
    int ends[2] = {};
    BOOST_REQUIRE(pipe(ends) == 0);
    const int original = dup(STDOUT_FILENO);
    dup2(ends[1], STDOUT_FILENO);
    function();
    dup2(original, STDOUT_FILENO);
    close(original);
    close(ends[1]);
    std::string text;
    char part[4096];
    for (ssize_t count = 0; (count = read(ends[0], part, sizeof part)) > 0;) {
        text.append(part, static_cast<std::size_t>(count));
    }
    close(ends[0]);
    return text;
}

}

// Guards against a warning that is dropped because many plain lines of its event came before, such as the ends of all
// connections in a planned stop.
BOOST_AUTO_TEST_CASE(PlainLinesDoNotDisplaceWarnings)
{
    const auto output = outputOf([] {
        const auto log = jsonLogger("node", LogLevel::Info);
        for (int i = 0; i < 100; ++i) {
            log(LogLevel::Info, "connection-ended", {});
        }
        log(LogLevel::Warning, "connection-ended", {{"unacknowledged_bytes", 1}});
    });
    BOOST_TEST(output.find("unacknowledged_bytes") != std::string::npos);
}
