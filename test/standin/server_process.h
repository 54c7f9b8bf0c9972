/// Defines how tests start and observe server processes, which run until they are stopped.
#ifndef CROCUSWIND_STANDIN_SERVER_PROCESS_H
#define CROCUSWIND_STANDIN_SERVER_PROCESS_H

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace crocuswind::standin {

/// A process whose standard output and standard error are read through one pipe. The process is
/// killed when the object is destroyed, and also if the test process dies.
class server_process
{
public:
    /// Starts the program at \p path. If it cannot be executed, wait() returns 127.
    server_process(const std::string &path, const std::vector<std::string> &arguments);
    ~server_process();
    server_process(const server_process &) = delete;
    server_process &operator=(const server_process &) = delete;

    /// Reads output up to a line that contains \p text, and returns that line. Returns nothing if
    /// the process closes its output first, or prints nothing for 30 s.
    std::optional<std::string> waitForLine(const std::string &text);

    /// Reads the output that is available, without waiting. Must be called regularly, because a
    /// full pipe blocks the process.
    void drainOutput();

    /// Sends a signal, such as SIGTERM, SIGKILL, SIGSTOP or SIGCONT.
    void signal(int number) const;

    /// Waits until the process ends. Returns the exit status, or 128 plus the number of the signal
    /// that terminated it.
    int wait();

    /// Returns all output read so far.
    const std::string &output() const { return m_output; }

    pid_t id() const { return m_id; }

private:
    bool readMore(int timeoutMs);

    pid_t m_id = -1;
    int m_pipe = -1;
    bool m_isReaped = false;
    int m_status = 0;
    std::string m_output;
    std::size_t m_searched = 0;
};

} // namespace crocuswind::standin

#endif
