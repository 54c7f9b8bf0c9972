/// Defines the state machine of an entry host's store lease and seat.
#ifndef CROCUSWIND_CLUSTER_SESSION_CORE_H
#define CROCUSWIND_CLUSTER_SESSION_CORE_H

#include "cluster_types.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace crocuswind {

struct seat_entry;

/// The settings of `session_core`.
struct session_settings
{
    host_id self;
    incarnation incarnationNumber = 0; ///< Incarnation of this process.
    data_centre_id dataCentre;
    int seats = 1; ///< Number of seats of the data centre, 1 to 8.
    duration leaseTtl = 5s; ///< A whole number of seconds.
    duration renewInterval = 1500ms; ///< Interval between the sending of renewals.
    /// Deadline of a renewal. It allows five attempts before the lease expires. With three attempts
    /// of 1 s, leases expired in runs of a few minutes at 5% loss in each direction.
    duration renewTimeout = 700ms;
    duration callTimeout = 1s; ///< Deadline of all other store calls.
    duration retryPause = 500ms; ///< Delay before a failed store call is retried.
    /// Interval at which the seats are read again while none is free.
    duration freeSeatPollInterval = 5s;
    /// Time for which the answer of a peer confirms the seat, counted from the probe (design 2.4).
    duration peerEvidenceWindow = 2s;
    duration dispatchLimit = 5s; ///< Longest time for which a dispatched request may run.
    /// A wake-up that is late by more than this counts as a pause of the process.
    duration maxWakeDelay = 1s;
};

/// Event: the process was suspended for a while, as detected by the event loop.
struct session_pause_detected
{ };

/// Event: this host has drained and releases its seat and lease. From now on it does not use the
/// seat.
struct session_release
{ };

/// Action: the state of the store lease. The owner of a shard may claim tasks until `validUntil`.
struct session_changed
{
    std::int64_t lease = 0; ///< 0 if this host holds no lease.
    instant validUntil; ///< Lease expiry, counted from the time at which the renewal was sent.
    bool storeReachable = false; ///< Whether the last lease call was answered.
};

/// Action: the seat may be used until `usableUntil`. The action is repeated with a later time when
/// new evidence arrives. Nothing may be dispatched after the latest such time.
struct seat_granted
{
    int seat = 0;
    int seats = 1;
    std::int64_t epoch = 0;
    instant usableUntil;
};

/// Action: the seat must not be used from now on.
struct seat_lost
{
    std::string reason;
};

/// Action: the seat that this host holds in the store, whether usable yet or not, has changed. The
/// adapter reports it to `membership_core`, which disseminates it.
struct session_claim_changed
{
    std::optional<seat_claim> claim;
};

/// Action: the seat and the lease have been released, or the time for it is over; the process may
/// exit.
struct session_released
{ };

/// Holds a store lease, claims a seat of the data centre with it, and determines when the seat may
/// be used. No two processes may use the same seat at the same time (design 2.4).
class session_core
{
public:
    struct event
    {
        instant now;
        std::variant<cluster_tick, cluster_store_answer, session_pause_detected,
                     cluster_peer_report, cluster_local_peers, session_release>
            what;
    };
    using action = std::variant<cluster_store_call, session_changed, seat_granted, seat_lost,
                                session_claim_changed, cluster_seats_read, session_released,
                                cluster_wake_at>;

    explicit session_core(session_settings settings);

    /// Handles one event and returns the resulting actions, in order.
    std::vector<action> handle(const event &e);

    /// Returns the seat that may be used at \p now, if any. It can be called between events,
    /// because the permission expires without one.
    std::optional<int> usableSeat(instant now) const;

    /// Returns a description of the seat's state for operators.
    std::string status(instant now) const;

private:
    /// A store call in flight. The lease and the seat have at most one each.
    struct pending_call
    {
        enum class purpose { none, grant, renew, read_seats, claim, release, revoke };

        purpose what = purpose::none;
        std::int64_t token = 0;
        instant sent;
        instant deadline;
    };

    /// A seat that this host holds, or may hold because the answer to its claim was lost.
    struct held_seat
    {
        int seat = 0;
        std::int64_t epoch = 0;
        std::int64_t lease = 0;
        bool needsQuarantine = false; ///< Requests of the former holder may still be running.
        host_id formerHolder;
        instant claimed; ///< When the store's answer confirmed the claim.
        std::set<host_id> acknowledged; ///< Peers that have reported this claim.
        instant lastAcknowledged; ///< When the last of these peers first reported it.
    };

    void on(const cluster_tick &);
    void on(const cluster_store_answer &e);
    void on(const session_pause_detected &);
    void on(const cluster_peer_report &e);
    void on(const cluster_local_peers &e);
    void on(const session_release &);

    void call(pending_call *slot, pending_call::purpose what, store_operation operation);
    duration leaseRetryPause(instant sent) const;
    void onLeaseAnswer(const pending_call &done, const store_result &result);
    void onSeatAnswer(const pending_call &done, const store_result &result);
    void onSeatsRead(const store_reply &reply);
    void claim(const seat_entry &entry);
    void holdSeat(held_seat seat);
    void loseSeat(const std::string &reason);
    void loseLease(const std::string &reason);
    void startCalls();
    void startReleaseCalls();
    bool isQuarantineOver() const;
    std::optional<instant> quarantineEnd() const;

    instant usableUntil() const;
    void reportUsability();
    instant nextWake() const;

    session_settings m_settings;
    instant m_now;
    std::vector<action> m_actions;
    std::optional<instant> m_plannedWake;
    std::int64_t m_lastToken = 0;

    pending_call m_leaseCall;
    std::int64_t m_lease = 0;
    instant m_leaseUntil;
    instant m_nextLeaseCall;
    int m_leaseFailures = 0; ///< Consecutive failures.
    bool m_isStoreReachable = false;

    pending_call m_seatCall;
    instant m_nextSeatCall;
    std::optional<held_seat> m_pendingClaim; ///< Claim whose result is not known yet.
    std::optional<held_seat> m_heldSeat;
    /// Last seat whose quarantine has ended while this process held it.
    std::optional<int> m_seatPastQuarantine;
    std::string m_seatProblem = "no seat was claimed yet";

    std::set<host_id> m_localPeers;
    /// When the latest probe that confirms the seat was sent.
    std::optional<instant> m_lastPeerConfirmation;
    /// Since when the seat is unconfirmed after a pause of the process.
    std::optional<instant> m_unconfirmedSince;
    bool m_hasStoreFailedSinceWake = false;

    bool m_isGranted = false;
    instant m_grantedUntil;
    std::optional<instant> m_releaseDeadline; ///< Set while the seat and lease are being released.
    bool m_isReleased = false;
};

} // namespace crocuswind

#endif
