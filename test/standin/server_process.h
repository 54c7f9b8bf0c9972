/// Defines how tests start and watch processes that serve until they are stopped.
#ifndef CROCUSWIND_STANDIN_SERVER_PROCESS_H
#define CROCUSWIND_STANDIN_SERVER_PROCESS_H

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace crocuswind::standin {

/// A process with its standard output and standard error collected through one pipe. It is killed
/// with the object, and also if the test itself dies.
class server_process
{
public:
    /// Starts the program at \p path. A failure to start shows as an exit status of 127.
    server_process(const std::string &path, const std::vector<std::string> &arguments);
    ~server_process();
    server_process(const server_process &) = delete;
    server_process &operator=(const server_process &) = delete;

    /// Reads output until a line holds \p text, and returns the line. Returns nothing if the
    /// process closed its output first, or printed nothing for 30 s.
    std::optional<std::string> waitForLine(const std::string &text);

    /// Takes in what the process has printed, without waiting, so that it is never blocked by a
    /// full pipe.
    void drainOutput();

    /// Sends a signal, such as SIGTERM, SIGKILL, SIGSTOP or SIGCONT.
    void signal(int number) const;

    /// Waits for the end. Returns the exit status, or 128 plus the number of the signal.
    int wait();

    /// Returns all output read so far.
    const std::string &output() const { return m_output; }

    pid_t id() const { return m_id; }

private:
    bool readMore(int limitMs);

    pid_t m_id = -1;
    int m_pipe = -1;
    bool m_isReaped = false;
    int m_status = 0;
    std::string m_output;
    std::size_t m_searched = 0;
};

} // namespace crocuswind::standin

#endif
