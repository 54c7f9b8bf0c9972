/// Defines the blocking client that commands use to call entry hosts, with failover to the next
/// host.
#ifndef CROCUSWIND_CROCUSWIND_ENTRY_CLIENT_H
#define CROCUSWIND_CROCUSWIND_ENTRY_CLIENT_H

#include "command.h"
#include "protocol/protocol.h"

#include <string>
#include <vector>

namespace crocuswind {

/// The settings of every command that calls entry hosts.
struct entry_settings
{
    std::vector<std::string> entries;
    std::int64_t timeoutMs = 10000;
    bool isJson = false;
};

/// Adds `--entry`, `--timeout-ms` and `--json` to \p app.
void addEntrySettings(CLI::App &app, entry_settings &settings);

/// Calls entry hosts, one call at a time.
class entry_client
{
public:
    entry_client(event_loop &loop, const entry_settings &settings);

    /// Tries the entry hosts in turn until one answers. After `not_connected` the next host is
    /// tried, since nothing was sent; after `no_answer` the next host is tried only if
    /// \p isRepeatable. Runs the loop until the call has ended or the deadline has passed. The
    /// outcome `not_connected` means that no host received the call.
    http_result call(const std::string &method, const std::string &path, const std::string &body,
                     instant deadline, bool isRepeatable);

    /// Calls the entry host \p to, without failover.
    http_result callOne(const ip_endpoint &to, const std::string &method, const std::string &path,
                        const std::string &body, instant deadline);

    const std::vector<ip_endpoint> &entries() const { return m_entries; }
    event_loop &loop() { return m_loop; }
    instant deadline() const { return m_deadline; }

    /// Returns the addresses of all entry hosts, separated by commas, for error messages.
    std::string addresses() const;

private:
    event_loop &m_loop;
    http_client m_client;
    std::vector<ip_endpoint> m_entries;
    std::size_t m_next = 0;
    instant m_deadline;
};

/// Throws the command_error for a call that no entry host answered. \p advice ends the message for
/// a call that may have been received.
[[noreturn]] void failUnanswered(const entry_client &client, http_outcome outcome,
                                 const std::string &advice);

/// Throws a command_error with \p status that reports the HTTP status and the error body of an
/// answer.
[[noreturn]] void failStatus(const http_result &result, exit_status status);

/// Runs the loop for \p time, as the pause between two polls.
void waitFor(event_loop &loop, duration time);

} // namespace crocuswind

#endif
