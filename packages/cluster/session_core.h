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

/// The settings of `session_core`.
struct session_settings
{
    host_id self;
    incarnation life = 0; ///< This life of the process.
    data_centre_id dataCentre;
    int seats = 1; ///< Number of seats of the data centre, 1 to 8.
    duration leaseTtl = 5s; ///< Whole seconds.
    duration renewPause = 1500ms; ///< From the sending of one renewal to the next.
    duration callTimeout = 1s; ///< Store call deadline.
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
        std::variant<cluster_tick, cluster_store_answer, session_pause_detected, cluster_peer_heard,
                     cluster_local_peers, session_release>
            what;
    };
    using action = std::variant<cluster_store_call, session_changed, seat_granted, seat_lost,
                                session_claim_changed, cluster_seats_learned, session_released,
                                cluster_wake_at>;

    explicit session_core(session_settings settings);

    /// Handles one event and returns what is to be done, in order.
    std::vector<action> handle(const event &e);

    /// Returns whether the seat may be used at \p now. This holds without a further event.
    bool mayUseSeat(instant now) const;

    /// Returns the state of the seat as a sentence for operators.
    std::string status(instant now) const;
};

} // namespace crocuswind

#endif
