/// Defines blocking access to the store for commands: reads of single keys, and publications.
#ifndef CROCUSWIND_CROCUSWIND_STORE_SESSION_H
#define CROCUSWIND_CROCUSWIND_STORE_SESSION_H

// cluster/cluster.h and io/io.h both declare peer_hello, so only the needed headers are included.
#include "cluster/cluster.h"
#include "command.h"

#include <optional>
#include <string>
#include <vector>

namespace crocuswind {

/// The settings of every command that uses the store.
struct store_settings
{
    std::vector<std::string> stores;
    std::int64_t timeoutMs = 10000;
};

/// Adds `--store` and `--timeout-ms` to \p app.
void addStoreSettings(CLI::App &app, store_settings &settings);

/// A connection to the store for one command.
class store_session
{
public:
    store_session(event_loop &loop, const store_settings &settings);

    /// Reads one key, with retries until the deadline. Returns nothing if the key does not exist.
    /// Throws a command_error if the store does not answer.
    std::optional<store_entry> read(const std::string &key);

    /// Reads a configuration. Returns nothing if the key does not exist. Throws a command_error if
    /// the value is not a valid configuration or the store does not answer.
    std::optional<config_set> readConfig(const std::string &key);

    /// Runs a publication until it has finished or the deadline has passed.
    publish_finished publish(publish_request request);

    instant deadline() const { return m_deadline; }
    event_loop &loop() { return m_loop; }

private:
    event_loop &m_loop;
    seeded_random m_random;
    etcd_store m_store;
    std::string m_addresses;
    instant m_deadline;
};

} // namespace crocuswind

#endif
