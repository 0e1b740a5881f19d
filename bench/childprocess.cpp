#include "childprocess.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace Galenahill {

ChildProcess::ChildProcess(const std::vector<std::string> &command, const std::string &logFile)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const auto &argument : command) {
        arguments.push_back(const_cast<char *>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    // Otherwise the child would keep the harness's connections open after the harness has closed them.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int failed = posix_spawn(&m_pid, arguments.front(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
        throw std::runtime_error(command.front() + ": cannot start the program; build it first");
    }
}

ChildProcess::~ChildProcess()
{
    if (running()) {
        ::kill(m_pid, SIGCONT);
        ::kill(m_pid, SIGKILL);
        wait();
    }
}

void ChildProcess::signal(int number)
{
    if (running()) {
        ::kill(m_pid, number);
    }
}

int ChildProcess::wait()
{
    if (!m_ended) {
        waitpid(m_pid, &m_status, 0);
        m_ended = true;
    }
    return WIFEXITED(m_status) ? WEXITSTATUS(m_status) : -1;
}

bool ChildProcess::running()
{
    if (!m_ended && waitpid(m_pid, &m_status, WNOHANG) == m_pid) {
        m_ended = true;
    }
    return !m_ended;
}

pid_t ChildProcess::pid() const
{
    return m_pid;
}

}
