/// Defines the state machine that keeps an entry host on the newest configuration.
#ifndef CROCUSWIND_CLUSTER_CONFIG_CORE_H
#define CROCUSWIND_CLUSTER_CONFIG_CORE_H

#include "cluster_types.h"
#include "config_set.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
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

/// Event: a peer's copy of its configuration (the answer to `config_request_copy`).
struct config_copy
{
    host_id from;
    std::string encoded; ///< Empty if the peer has none.
};

/// Event: a peer asks for a copy if this host's revision is higher than \c above.
struct config_copy_requested
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
struct config_request_copy
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
struct config_in_effect
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
                     config_watch_ended, config_copy, config_copy_requested>
            what;
    };
    using action = std::variant<cluster_store_call, config_start_watch, config_stop_watch,
                                config_request_copy, config_send_copy, config_in_effect,
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
    void on(const cluster_tick &);
    void on(const cluster_store_answer &e);
    void on(const config_peer &e);
    void on(const config_watch_result &e);
    void on(const config_watch_ended &e);
    void on(const config_copy &e);
    void on(const config_copy_requested &e);

    void readStore();
    void onReadFailed();
    void startWatch();
    void stopWatch();
    void considerWatching();
    void reportWatching();
    void considerStoreEntry(const std::optional<store_entry> &entry);
    void offer(config_set config);
    void applyIfDecided();
    bool isStartDecided() const;
    void considerAsking();
    duration backoff(int failures) const;
    std::int64_t heldRevision() const;
    instant nextWake() const;

    config_settings m_settings;
    instant m_now;
    std::vector<action> m_actions;
    std::shared_ptr<const config_set> m_current;
    std::shared_ptr<const std::string> m_encoded; ///< Of `m_current`.
    std::optional<config_set> m_candidate; ///< Highest seen while the start is undecided.
    std::optional<instant> m_started;
    std::map<host_id, config_peer> m_peers; ///< Alive ones only.

    std::int64_t m_lastToken = 0;
    std::int64_t m_read = 0; ///< Token of the read in flight, or 0.
    instant m_readDeadline;
    std::optional<instant> m_readAt; ///< When to read next.
    int m_readFailures = 0; ///< In sequence.
    bool m_hasStoreAnswered = false; ///< At least once.
    std::string m_storeState = "has not been asked yet";

    std::int64_t m_lastWatch = 0;
    std::int64_t m_watch = 0; ///< The running watch, or 0.
    bool m_isWatchProven = false; ///< The store was read successfully while the watch ran.
    bool m_isWatchingReported = false;
    instant m_watchStarted;
    int m_watchFailures = 0; ///< Short watches in sequence.
    std::optional<instant> m_watchAt; ///< Earliest next attempt after a failure.
    std::optional<instant> m_watchDue; ///< When to watch unless another host does by then.
    std::optional<instant> m_unwatchedSince; ///< No host of higher rank watches since then.

    std::optional<host_id> m_asked; ///< Peer whose copy is awaited.
    instant m_askDeadline;
    int m_askFailures = 0; ///< In sequence.
    std::set<host_id> m_askedInVain; ///< Peers that did not help with the revision wanted.
};

} // namespace crocuswind

#endif
