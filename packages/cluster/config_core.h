/// Defines the state machine that keeps the configuration of an entry host up to date.
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
    /// Timeout for a copy from a peer, after which the next peer is asked. It doubles with every
    /// second failure, up to 8 times this value.
    duration peerTimeout = 500ms;
    /// Delay before a failed store call or watch is retried; it grows with each failure.
    duration retryPause = 1s;
    /// Interval at which a watcher rereads the key, because a watch may stall.
    duration verifyInterval = 60s;
    /// A host of rank n waits n times this before it replaces a missing watcher.
    duration takeoverDelay = 1s;
    duration startupWindow = 2s; ///< Longest wait at startup for both the store and a peer.
};

/// Event: the state of a peer and its configuration, as known to `membership_core`. To be sent for
/// each member that changes.
struct config_peer
{
    host_id host;
    data_centre_id dataCentre;
    bool alive = false;
    bool watching = false; ///< The peer watches the store and its watch is verified.
    std::int64_t revision = 0; ///< 0 if the peer has no configuration.
};

/// Event: the watched key has changed, or its first value since the watch was started.
struct config_watch_result
{
    std::int64_t watch = 0;
    std::optional<store_entry> entry; ///< Empty if the key does not exist.
};

/// Event: the watch has ended, for whatever reason, and must be restarted.
struct config_watch_ended
{
    std::int64_t watch = 0;
};

/// Event: a copy of a peer's configuration (the answer to `config_request_copy`).
struct config_copy
{
    host_id from;
    std::string encoded; ///< Empty if the peer has no revision higher than the requested one.
};

/// Event: a peer requests a copy if the revision of this host is higher than \c above.
struct config_copy_requested
{
    host_id from;
    std::int64_t above = 0;
};

/// Action: watch `configCurrentKey` until `config_stop_watch`.
struct config_start_watch
{
    std::int64_t watch = 0; ///< Returned with each result.
};

/// Action: stop a watch. Results that still arrive from it are ignored.
struct config_stop_watch
{
    std::int64_t watch = 0;
};

/// Action: request a copy of a peer's configuration if its revision is higher than \c above.
struct config_request_copy
{
    host_id to;
    std::int64_t above = 0;
};

/// Action: send a copy of the configuration to a peer that requested it.
struct config_send_copy
{
    host_id to;
    std::shared_ptr<const std::string> encoded;
};

/// Action: a higher revision takes effect now. The adapter also reports it to `membership_core`.
struct config_in_effect
{
    std::shared_ptr<const config_set> config;
};

/// Action: this host has started or stopped watching the store. The adapter reports it to
/// `membership_core`.
struct config_watching_changed
{
    bool watching = false;
};

/// Action: write a line to the log.
struct config_log
{
    std::string line;
};

/// Keeps the highest revision seen in the store or at any peer, and decides whether this host
/// watches the store. In each data centre one host watches; the next host in rank (by name)
/// replaces it if it is gone or has lost the store. All other hosts learn of new revisions by
/// gossip and copy them from a peer.
///
/// The revision in effect never decreases while the process runs. At startup the host waits up to
/// `startupWindow` for the store and the peers and takes the highest revision, because either may
/// be stale.
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

    /// Handles one event and returns the resulting actions, in order.
    std::vector<action> handle(const event &e);

    /// Returns the configuration in effect, or null if there is none yet.
    std::shared_ptr<const config_set> current() const { return m_current; }

    /// Returns the revision in effect, or 0 if there is none yet.
    std::int64_t revision() const { return m_current ? m_current->revision : 0; }

    /// Returns a sentence for operators that says why no configuration is in effect; empty if one
    /// is.
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
    void updateWatcherRole();
    void reportWatching();
    void considerStoreEntry(const std::optional<store_entry> &entry);
    void considerCandidate(config_set config);
    void applyCandidate();
    bool isStartupDecided() const;
    void requestCopyIfBehind();
    duration backoff(int failures) const;
    std::int64_t highestRevision() const;
    instant nextWake() const;

    config_settings m_settings;
    instant m_now;
    std::vector<action> m_actions;
    std::shared_ptr<const config_set> m_current;
    std::shared_ptr<const std::string> m_encoded; ///< Encoded form of `m_current`.
    /// Highest revision seen that is not yet in effect, as during startup.
    std::optional<config_set> m_candidate;
    std::optional<instant> m_startTime;
    std::map<host_id, config_peer> m_peers; ///< Only peers that are alive.

    std::int64_t m_lastToken = 0;
    std::int64_t m_readToken = 0; ///< Token of the store read in flight, or 0.
    instant m_readDeadline;
    std::optional<instant> m_readAt; ///< When to read the store next.
    int m_readFailures = 0; ///< Consecutive failures.
    bool m_hasStoreAnswered = false; ///< The store has answered at least once.
    std::string m_storeState = "has not been asked yet";

    std::int64_t m_lastWatch = 0;
    std::int64_t m_watchToken = 0; ///< The active watch, or 0.
    bool m_isWatchVerified = false; ///< The store was read successfully while the watch was active.
    bool m_isWatchingReported = false;
    instant m_watchStarted;
    int m_watchFailures = 0; ///< Consecutive watches that ended early.
    std::optional<instant> m_watchAt; ///< Earliest time for the next watch after a failure.
    /// When to start a watch unless another host watches by then.
    std::optional<instant> m_watchDue;
    /// Since when no host of higher rank has been watching.
    std::optional<instant> m_unwatchedSince;

    std::optional<host_id> m_copyRequestedFrom; ///< Peer to which a request for a copy is pending.
    instant m_copyDeadline;
    int m_copyFailures = 0; ///< Consecutive failures.
    /// Peers that did not deliver a higher revision when asked.
    std::set<host_id> m_exhaustedPeers;
};

} // namespace crocuswind

#endif
