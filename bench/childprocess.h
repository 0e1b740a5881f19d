#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace Galenahill {

// A child process of the test harness. The destructor kills it with SIGKILL, so that a failed
// run leaves no processes behind. Only the harness starts processes; the programs under test
// start none.
class ChildProcess
{
public:
    // Starts the program and appends its standard output and standard error to the log file.
    ChildProcess(const std::vector<std::string> &command, const std::string &logFile);
    ~ChildProcess();

    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    // Sends a signal; does nothing if the process has ended.
    void signal(int number);

    // Waits until the process ends. Returns its exit code, or -1 if a signal ended it.
    int wait();

    bool running();
    pid_t pid() const;

private:
    pid_t m_pid = -1;
    bool m_ended = false;
    int m_status = 0;
};

}
