/// Defines the values that the cores of this library share: store calls, wake-ups and seat claims.
#ifndef CROCUSWIND_CLUSTER_CLUSTER_TYPES_H
#define CROCUSWIND_CLUSTER_CLUSTER_TYPES_H

#include "base/base.h"

#include <string>
#include <vector>

namespace crocuswind {

/// Event: the time asked for with `cluster_wake_at` has come. The first event of a core is a tick.
struct cluster_tick
{ };

/// Event: the outcome of the store call with this token. Every call gets exactly one; a core
/// ignores those that come after it has given the call up.
struct cluster_store_answer
{
    std::int64_t token = 0;
    store_result result;
};

/// Action: carry out a store call and report `no_answer` if there is no answer by `deadline`.
/// Tokens are unique within one core.
struct cluster_store_call
{
    std::int64_t token = 0;
    store_operation operation;
    instant deadline;
};

/// Action: send a tick at this time. It replaces the time asked for before by the same core.
struct cluster_wake_at
{
    instant when;
};

/// A claim of a seat. The epoch is the create revision of the seat's key in the store: it rises
/// with each new holder, whereas incarnations of different hosts cannot be ordered.
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

/// A peer of the own data centre has answered a probe. `membership_core` reports it as an action
/// and `session_core` takes it as an event.
struct cluster_peer_report
{
    host_id host;
    instant probeSent; ///< When the answered probe was sent; evidence counts from then.
    bool seatsKnown = false; ///< Whether the peer has read the seats from the store in this life.
    std::vector<seat_claim> claims; ///< The highest claim that the peer knows for each seat.
};

/// All other entry hosts of the own data centre that may be running. `membership_core` reports it
/// as an action when it changes and `session_core` takes it as an event.
struct cluster_local_peers
{
    std::vector<host_id> hosts;
};

/// The highest claim of each seat of the own data centre that the store has shown. `session_core`
/// reports it as an action and `membership_core` takes it as an event.
struct cluster_seats_read
{
    std::vector<seat_claim> claims;
};

} // namespace crocuswind

#endif
