#include "server_process.h"

#include <csignal>
#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace crocuswind::standin {

namespace {

/// A process that prints nothing for this long is considered stuck, so that the test fails instead
/// of hanging. Test results do not depend on the speed of a process below this limit.
constexpr int outputTimeoutMs = 30000;

[[noreturn]] void runChild(const std::string &path, const std::vector<std::string> &arguments,
                           int output)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    std::vector<char *> argv;
    argv.push_back(const_cast<char *>(path.c_str()));
    for (const std::string &argument : arguments)
        argv.push_back(const_cast<char *>(argument.c_str()));
    argv.push_back(nullptr);
    execv(path.c_str(), argv.data());
    _exit(127);
}

} // namespace

server_process::server_process(const std::string &path, const std::vector<std::string> &arguments)
{
    int ends[2];
    if (pipe2(ends, O_CLOEXEC) != 0)
        return;
    m_id = fork();
    if (m_id == 0)
        runChild(path, arguments, ends[1]);
    close(ends[1]);
    m_pipe = ends[0];
}

server_process::~server_process()
{
    if (m_id > 0 && !m_isReaped) {
        signal(SIGKILL);
        wait();
    }
    if (m_pipe >= 0)
        close(m_pipe);
}

bool server_process::readMore(int timeoutMs)
{
    pollfd ready{m_pipe, POLLIN, 0};
    if (poll(&ready, 1, timeoutMs) <= 0)
        return false;
    char buffer[4096];
    const ssize_t count = read(m_pipe, buffer, sizeof buffer);
    if (count <= 0)
        return false;
    m_output.append(buffer, std::size_t(count));
    return true;
}

std::optional<std::string> server_process::waitForLine(const std::string &text)
{
    for (;;) {
        const std::size_t end = m_output.find('\n', m_searched);
        if (end == std::string::npos) {
            if (!readMore(outputTimeoutMs))
                return std::nullopt;
            continue;
        }
        const std::string line = m_output.substr(m_searched, end - m_searched);
        m_searched = end + 1;
        if (line.find(text) != std::string::npos)
            return line;
    }
}

void server_process::drainOutput()
{
    while (readMore(0)) { }
}

void server_process::signal(int number) const
{
    if (m_id > 0 && !m_isReaped)
        kill(m_id, number);
}

int server_process::wait()
{
    if (m_isReaped || m_id <= 0)
        return m_status;
    while (readMore(outputTimeoutMs)) { }
    int status = 0;
    waitpid(m_id, &status, 0);
    m_isReaped = true;
    m_status = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    return m_status;
}

} // namespace crocuswind::standin
