/// Defines the events, actions and values that the state machines of this library share: store
/// calls, wake-ups and seat claims.
#ifndef CROCUSWIND_CLUSTER_CLUSTER_TYPES_H
#define CROCUSWIND_CLUSTER_CLUSTER_TYPES_H

#include "base/base.h"

#include <string>
#include <vector>

namespace crocuswind {

/// Event: the time requested with `cluster_wake_at` has been reached. The first event of each core
/// is a tick.
struct cluster_tick
{ };

/// Event: the result of the store call with this token. Every call gets exactly one result; a core
/// ignores a result that arrives after the core has abandoned the call.
struct cluster_store_answer
{
    std::int64_t token = 0;
    store_result result;
};

/// Action: execute a store call and report `no_answer` if the store has not replied by `deadline`.
/// Tokens are unique within one core.
struct cluster_store_call
{
    std::int64_t token = 0;
    store_operation operation;
    instant deadline;
};

/// Action: send a tick at this time. It replaces the wake-up that the same core requested before.
struct cluster_wake_at
{
    instant when;
};

/// A claim of a seat. The epoch is the create revision of the seat's key in the store. It increases
/// with each new holder, whereas the incarnations of different hosts are not comparable.
struct seat_claim
{
    int seat = 0;
    std::int64_t epoch = 0;
    host_id holder;

    friend bool operator==(const seat_claim &a, const seat_claim &b)
    {
        return a.seat == b.seat && a.epoch == b.epoch && a.holder == b.holder;
    }
    friend bool operator!=(const seat_claim &a, const seat_claim &b) { return !(a == b); }
};

/// Seat claims that a peer of the same data centre has reported, usually in its answer to a probe.
/// `membership_core` returns it as an action and `session_core` handles it as an event.
struct cluster_peer_report
{
    host_id host;
    /// When the answered probe was sent, from which the age of the evidence is counted; the epoch
    /// of `instant` if the report answers no probe of this host.
    instant probeSent;
    /// Whether the peer's current process knows all seats, from the store or from its peers; always
    /// false if the report answers no probe.
    bool seatsKnown = false;
    std::vector<seat_claim> claims; ///< The highest claim known to the peer for each seat.
};

/// All other entry hosts of the same data centre that may be running. `membership_core` returns it
/// as an action when the set changes and `session_core` handles it as an event.
struct cluster_local_peers
{
    std::vector<host_id> hosts;
};

/// The highest claim of each seat of the same data centre, as read from the store. `session_core`
/// returns it as an action and `membership_core` handles it as an event.
struct cluster_seats_read
{
    std::vector<seat_claim> claims;
};

} // namespace crocuswind

#endif
