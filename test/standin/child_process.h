/// Defines how tests run the project's programs.
#ifndef CROCUSWIND_STANDIN_CHILD_PROCESS_H
#define CROCUSWIND_STANDIN_CHILD_PROCESS_H

#include <string>
#include <sys/types.h>
#include <vector>

namespace crocuswind::standin {

/// One program that was started; it is killed at the end if it still runs.
class child_process
{
public:
    /// Starts the program at \p path. \p environment holds `NAME=VALUE` in addition to the present
    /// environment.
    child_process(const std::string &path, const std::vector<std::string> &arguments,
                  const std::vector<std::string> &environment = {});
    ~child_process();
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    /// Returns true if the program has ended, without waiting for it.
    bool hasEnded();

    /// Waits for the program to end and returns its exit status, or -1 if a signal ended it.
    int wait();

    /// Sends a signal to the program.
    void signal(int number) const;

    /// Waits for the next line of standard output and returns it without its end, empty if there is
    /// none.
    std::string readLine();

    /// Returns what the program wrote, once it has ended. Each must be under 64 KB, the size of a
    /// pipe.
    std::string output();
    std::string errors();

private:
    pid_t m_pid = -1;
    int m_output = -1;
    int m_errors = -1;
    int m_status = -1;
    bool m_isEnded = false;
};

/// Returns the address in the line `listening on IP:PORT` with which a stand-in begins.
std::string listeningAddress(child_process &standin);

} // namespace crocuswind::standin

#endif
