/// Defines an entry host that runs as a process of its own on the users' platform, for tests with
/// real processes.
#ifndef CROCUSWIND_STANDIN_PLATFORM_PROCESS_H
#define CROCUSWIND_STANDIN_PLATFORM_PROCESS_H

#include "child_process.h"
#include "io/io.h"

#include <memory>
#include <string>

namespace crocuswind::standin {

/// An entry host with its settings file. The destructor kills it and removes the file.
class platform_process
{
public:
    /// \p store is the address of the platform's store, `ip:port`. \p program is the path of the
    /// entry host's program. \p furtherSettings are lines that are added to the settings file.
    platform_process(event_loop &loop, std::string name, const std::string &store,
                     std::string program, const std::string &furtherSettings = {});
    ~platform_process();
    platform_process(const platform_process &) = delete;
    platform_process &operator=(const platform_process &) = delete;

    /// Starts the process. Its log goes to the file \p log.
    void start(const std::string &log);

    /// Kills the process if it runs, and waits until it is gone.
    void kill();

    /// Returns the identifier of the process, which must have been started.
    pid_t id() const { return m_process->id(); }

    /// Returns whether the process has ended by itself.
    bool hasEnded() const { return m_process->hasEnded(); }

    /// Stops and resumes the process (SIGSTOP, SIGCONT).
    void pause() const;
    void resume() const;

    const std::string &name() const { return m_name; }
    const ip_endpoint &callers() const { return m_callers; }
    const ip_endpoint &ready() const { return m_ready; }

private:
    std::string m_name;
    std::string m_program;
    ip_endpoint m_callers;
    ip_endpoint m_ready;
    std::string m_settings; ///< Path of its settings file.
    std::unique_ptr<child_process> m_process;
};

/// Returns a loopback port that was free when it was probed, and that neither other test processes
/// nor outgoing connections use as a rule.
int freePort(event_loop &loop);

} // namespace crocuswind::standin

#endif
