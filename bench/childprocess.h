#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace Galenahill {

// A process of the fleet under test, started by the harness. Ended with
// SIGKILL when the object goes, so that a failed run leaves nothing behind.
// The harness isn't part of the system; none of the system's own processes
// starts another.
class ChildProcess
{
public:
    // Starts the program; its standard error goes to the log file.
    ChildProcess(const std::vector<std::string> &command, const std::string &logFile);
    ~ChildProcess();

    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    // Sends a signal; nothing if the process has ended.
    void signal(int number);

    // Waits for the end and gives the exit code, or -1 after a signal.
    int wait();

    bool running();
    pid_t pid() const;

private:
    pid_t m_pid = -1;
    bool m_ended = false;
    int m_status = 0;
};

}
