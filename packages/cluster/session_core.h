/// Defines the state machine of a host's store lease and of the seat that it may use.
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
    incarnation incarnationNumber = 0; ///< This life of the process.
    data_centre_id dataCentre;
    int seats = 1; ///< Number of seats of the data centre, 1 to 8.
    duration leaseTtl = 5s; ///< Whole seconds.
    duration renewPause = 1500ms; ///< From the sending of one renewal to the next.
    /// Deadline of a renewal. It leaves five attempts before the lease runs out. With three
    /// attempts of 1 s, leases ran out in runs of some minutes at 5% loss each way.
    duration renewTimeout = 700ms;
    duration callTimeout = 1s; ///< Deadline of all other store calls.
    duration retryPause = 500ms; ///< Pause after a failed store call.
    duration spareSeatPause = 5s; ///< Pause between looks for a free seat if all are taken.
    duration hearingWindow = 2s; ///< How long the answer of a peer is evidence (design 2.4).
    duration dispatchLimit = 5s; ///< Longest time that a dispatched request may run.
    duration pauseLimit = 1s; ///< A wake-up that is later than this counts as a pause.
};

/// Event: the process did not run for a while (the event loop reports it).
struct session_pause_detected
{ };

/// Event: this host has drained and gives its seat and its lease back. No use is made of the seat
/// from now on.
struct session_release
{ };

/// Action: the state of the store lease. The owner of a shard may make claims until `validUntil`.
struct session_changed
{
    std::int64_t lease = 0; ///< 0 if there is none.
    instant validUntil; ///< Counted from the time at which the renewal was sent.
    bool storeReachable = false; ///< Whether the last store call was answered.
};

/// Action: the seat may be used until `usableUntil`. It is repeated with a later time as evidence
/// arrives; nothing may be dispatched after the latest one.
struct seat_granted
{
    int seat = 0;
    int seats = 1;
    std::int64_t epoch = 0;
    instant usableUntil;
};

/// Action: the seat may not be used from now on.
struct seat_lost
{
    std::string reason;
};

/// Action: the seat that this host holds in the store, whether it may be used or not. Tell
/// `membership_core`, which spreads it.
struct session_claim_changed
{
    std::optional<seat_claim> claim;
};

/// Action: the seat and the lease are given back, or could not be; the process may end.
struct session_released
{ };

/// Holds a store lease, claims a seat of the data centre with it, and says when the seat may be
/// used. Two processes never may use one seat at one time (design 2.4).
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

    /// Handles one event and returns what is to be done, in order.
    std::vector<action> handle(const event &e);

    /// Returns the seat that may be used at \p now, if any. This holds without a further event.
    std::optional<int> usableSeat(instant now) const;

    /// Returns the state of the seat as a sentence for operators.
    std::string status(instant now) const;

private:
    /// The lease and the seat each have at most one store call in flight.
    struct pending_call
    {
        enum class purpose { none, grant, renew, read_seats, claim, release, revoke };

        purpose what = purpose::none;
        std::int64_t token = 0;
        instant sent;
        instant deadline;
    };

    /// A seat that is held, or may be held because the answer to its claim was lost.
    struct held_seat
    {
        int seat = 0;
        std::int64_t epoch = 0;
        std::int64_t lease = 0;
        bool needsQuarantine = false; ///< Requests of the former holder may still run.
        host_id former;
        instant claimed; ///< When the store's answer showed the claim.
        std::set<host_id> acknowledged; ///< Peers that have learned of the claim.
        instant lastAcknowledged; ///< When the last of them did.
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
    void adopt(held_seat seat);
    void loseSeat(const std::string &reason);
    void loseLease(const std::string &reason);
    void startCalls();
    void startReleaseCalls();
    bool isQuarantineOver() const;
    std::optional<instant> quarantineEnd() const;

    instant usableUntil() const;
    void reportUse();
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
    int m_leaseFailures = 0; ///< In sequence.
    bool m_isStoreReachable = false;

    pending_call m_seatCall;
    instant m_nextSeatCall;
    std::optional<held_seat> m_pending; ///< Claim without an answer so far.
    std::optional<held_seat> m_held;
    std::optional<int> m_cleanSeat; ///< Last seat whose quarantine this process has waited out.
    std::string m_seatProblem = "no seat was claimed yet";

    std::set<host_id> m_localPeers;
    std::optional<instant> m_heard; ///< When the latest answered probe was sent.
    std::optional<instant> m_unconfirmedSince; ///< Woke from a pause and has no proof of the seat.
    bool m_hasStoreFailedSinceWake = false;

    bool m_isGranted = false;
    instant m_grantedUntil;
    std::optional<instant> m_releaseDeadline; ///< Set while releasing.
    bool m_isReleased = false;
};

} // namespace crocuswind

#endif
