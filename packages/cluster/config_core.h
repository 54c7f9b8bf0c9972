/// Defines the state machine that keeps an entry host on the newest configuration.
#ifndef CROCUSWIND_CLUSTER_CONFIG_CORE_H
#define CROCUSWIND_CLUSTER_CONFIG_CORE_H

#include "cluster_types.h"
#include "config_set.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crocuswind {

/// The settings of `config_core`.
struct config_settings
{
    host_id self;
    data_centre_id dataCentre;
    duration callTimeout = 1s; ///< Store call deadline.
    duration peerTimeout = 500ms; ///< Wait for a copy from one peer before the next is asked.
    duration retryPause = 1s; ///< Pause after a failed store call or watch.
    duration verifyPause = 60s; ///< A watcher reads the key again after this, as a watch may stall.
    duration successorDelay = 1s; ///< Wait of each rank before it stands in for a missing watcher.
    duration startWindow = 2s; ///< Longest wait at the start for both the store and a peer.
};

/// Event: what `membership_core` knows of a peer's configuration. Send it for each changed member.
struct config_peer
{
    host_id host;
    data_centre_id dataCentre;
    bool alive = false;
    bool watching = false; ///< The peer watches the store, and its watch is in order.
    std::int64_t revision = 0; ///< 0 if the peer has no configuration.
};

/// Event: a change of the watched key, or its first value after the watch began.
struct config_watch_result
{
    std::int64_t watch = 0;
    std::optional<store_entry> entry; ///< Nothing if the key does not exist.
};

/// Event: the watch has ended for whatever reason and must be started again.
struct config_watch_ended
{
    std::int64_t watch = 0;
};

/// Event: a peer's copy of its configuration (the answer to `config_ask_peer`).
struct config_copy
{
    host_id from;
    std::string encoded; ///< Empty if the peer has none.
};

/// Event: a peer asks for a copy if this host's revision is higher than \c above.
struct config_asked
{
    host_id from;
    std::int64_t above = 0;
};

/// Action: watch `configCurrentKey` until `config_stop_watch`.
struct config_start_watch
{
    std::int64_t watch = 0; ///< Comes back with each result.
};

/// Action: end a watch. No result of it is used any more.
struct config_stop_watch
{
    std::int64_t watch = 0;
};

/// Action: ask a peer for its configuration if its revision is higher than \c above.
struct config_ask_peer
{
    host_id to;
    std::int64_t above = 0;
};

/// Action: send the configuration to a peer that asked for it.
struct config_send_copy
{
    host_id to;
    std::shared_ptr<const std::string> encoded;
};

/// Action: a higher revision is in force from now on. Tell `membership_core` as well.
struct config_in_force
{
    std::shared_ptr<const config_set> config;
};

/// Action: whether this host watches the store has changed. Tell `membership_core`.
struct config_watching_changed
{
    bool watching = false;
};

/// Action: write a line to the log.
struct config_log
{
    std::string line;
};

/// Keeps the highest revision seen in the store or at any peer, and decides who watches the store:
/// one host of each data centre watches, and the next in rank stands in for it if it is gone or has
/// lost the store. Everyone else learns revisions by gossip and copies them from a peer.
///
/// The revision in force never goes down while the process lives. A host that starts waits up to
/// `startWindow` for the store and the peers and takes the highest, since either may be stale.
class config_core
{
public:
    struct event
    {
        instant now;
        std::variant<cluster_tick, cluster_store_answer, config_peer, config_watch_result,
                     config_watch_ended, config_copy, config_asked>
            what;
    };
    using action = std::variant<cluster_store_call, config_start_watch, config_stop_watch,
                                config_ask_peer, config_send_copy, config_in_force,
                                config_watching_changed, config_log, cluster_wake_at>;

    explicit config_core(config_settings settings);

    /// Handles one event and returns what is to be done, in order.
    std::vector<action> handle(const event &e);

    /// Returns the configuration in force, or nothing if there is none yet.
    std::shared_ptr<const config_set> current() const { return m_current; }

    /// Returns the revision in force, or 0.
    std::int64_t revision() const { return m_current ? m_current->revision : 0; }

    /// Returns why there is no configuration in force, as a sentence for operators; empty if there
    /// is one.
    std::string notReadyReason() const;

private:
    std::shared_ptr<const config_set> m_current;
};

} // namespace crocuswind

#endif
