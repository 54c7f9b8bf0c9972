/// Defines how tests run the project's programs and read their output.
#ifndef CROCUSWIND_STANDIN_CHILD_PROCESS_H
#define CROCUSWIND_STANDIN_CHILD_PROCESS_H

#include <string>
#include <sys/types.h>
#include <vector>

namespace crocuswind::standin {

/// A child process. The destructor kills it if it is still running.
class child_process
{
public:
    /// Starts the program at \p path. \p environment holds entries `NAME=VALUE` that are added to
    /// the environment of the test.
    child_process(const std::string &path, const std::vector<std::string> &arguments,
                  const std::vector<std::string> &environment = {});
    ~child_process();
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    /// Returns the process identifier.
    pid_t id() const { return m_pid; }

    /// Returns whether the program has exited. Does not wait.
    bool hasEnded();

    /// Waits until the program exits. Returns its exit status, or -1 if a signal terminated it.
    int wait();

    /// Sends a signal to the program.
    void signal(int number) const;

    /// Waits for the next line of standard output and returns it without the newline. Returns an
    /// empty text at the end of the output.
    std::string readLine();

    /// Wait until the program exits and return the rest of its standard output or standard error.
    /// Each stream must stay under 64 KB, the capacity of a pipe, or the program blocks.
    std::string output();
    std::string errors();

private:
    pid_t m_pid = -1;
    int m_output = -1;
    int m_errors = -1;
    int m_status = -1;
    bool m_isEnded = false;
};

/// Reads the line `listening on IP:PORT` that a stand-in prints first, and returns the address.
/// Returns an empty text if the line is a different one.
std::string listeningAddress(child_process &standin);

} // namespace crocuswind::standin

#endif
