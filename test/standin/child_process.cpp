#include "child_process.h"

#include "base/base.h"

#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace crocuswind::standin {

namespace {

std::vector<char *> pointersOf(std::vector<std::string> &texts)
{
    std::vector<char *> pointers;
    for (std::string &text : texts)
        pointers.push_back(text.data());
    pointers.push_back(nullptr);
    return pointers;
}

std::string readAll(int descriptor)
{
    std::string text;
    char buffer[4096];
    for (ssize_t n = 0; (n = read(descriptor, buffer, sizeof(buffer))) > 0;)
        text.append(buffer, std::size_t(n));
    return text;
}

} // namespace

child_process::child_process(const std::string &path, const std::vector<std::string> &arguments,
                             const std::vector<std::string> &environment)
{
    int output[2] = {-1, -1};
    int errors[2] = {-1, -1};
    CROCUSWIND_INVARIANT(pipe2(output, O_CLOEXEC) == 0 && pipe2(errors, O_CLOEXEC) == 0,
                         "cannot create pipes for a child process");
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, output[1], STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, errors[1], STDERR_FILENO);
    std::vector<std::string> all = {path};
    all.insert(all.end(), arguments.begin(), arguments.end());
    std::vector<std::string> variables = environment;
    for (char **v = environ; *v; ++v)
        variables.emplace_back(*v);
    const int error = posix_spawn(&m_pid, path.c_str(), &actions, nullptr, pointersOf(all).data(),
                                  pointersOf(variables).data());
    posix_spawn_file_actions_destroy(&actions);
    close(output[1]);
    close(errors[1]);
    CROCUSWIND_INVARIANT(error == 0, "cannot start " + path);
    m_output = output[0];
    m_errors = errors[0];
}

child_process::~child_process()
{
    if (!hasEnded()) {
        signal(SIGKILL);
        wait();
    }
    close(m_output);
    close(m_errors);
}

bool child_process::hasEnded()
{
    int status = 0;
    if (!m_isEnded && waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_isEnded = true;
        m_status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    return m_isEnded;
}

int child_process::wait()
{
    int status = 0;
    if (!m_isEnded) {
        while (waitpid(m_pid, &status, 0) < 0 && errno == EINTR) { }
        m_isEnded = true;
        m_status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    return m_status;
}

void child_process::signal(int number) const
{
    if (!m_isEnded)
        kill(m_pid, number);
}

std::string child_process::readLine()
{
    std::string line;
    char c = 0;
    while (read(m_output, &c, 1) == 1 && c != '\n')
        line += c;
    return line;
}

std::string child_process::output()
{
    wait();
    return readAll(m_output);
}

std::string child_process::errors()
{
    wait();
    return readAll(m_errors);
}

std::string listeningAddress(child_process &standin)
{
    const std::string line = standin.readLine();
    const std::string prefix = "listening on ";
    if (line.rfind(prefix, 0) != 0)
        return {};
    const std::size_t end = line.find(' ', prefix.size());
    return line.substr(prefix.size(), end == std::string::npos ? end : end - prefix.size());
}

} // namespace crocuswind::standin
