/// Defines the events that the adapter hands to the request core.
#ifndef CROCUSWIND_URGENT_URGENT_EVENTS_H
#define CROCUSWIND_URGENT_URGENT_EVENTS_H

#include "base/base.h"
#include "peer_messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace crocuswind {

/// Identifies a caller that waits for a reply; chosen by the adapter, unique within a process.
using caller_token = std::uint64_t;

/// Identifies one dispatch to a runner; chosen by the core, unique within an incarnation.
using attempt_number = std::uint64_t;

/// A caller asks for a new identifier.
struct identifier_asked
{
    caller_token caller = 0;
};

/// A caller submits a request. Only a repeatable request may come without an identifier.
struct request_submitted
{
    caller_token caller = 0;
    std::optional<request_id> id;
    instant deadline;
    request_content content;
};

/// A caller asks for the outcome of a request.
struct outcome_asked
{
    caller_token caller = 0;
    request_id id;
};

/// A caller closed its connection before it had a reply.
struct request_caller_gone
{
    caller_token caller = 0;
};

/// What became of a dispatch. The adapter sends exactly one for each dispatch, also after
/// cancel_attempt; the core tolerates none or several.
struct runner_result
{
    enum class kind {
        answered, ///< Status 200 with the complete body.
        refused_before_start, ///< Status 503 with `x-crocuswind-not-started: 1`.
        not_connected, ///< Nothing was sent.
        no_answer, ///< Bytes may have been sent; no complete answer, or the attempt was cancelled.
        failed, ///< Any other complete answer.
    };

    attempt_number attempt = 0;
    kind what = kind::no_answer;
    std::string answer; ///< The body, if `answered`.
    std::optional<request_id> echoedId; ///< From `x-crocuswind-request`; must match if `answered`.
    bool isLeaving = false; ///< The answer carried `x-crocuswind-leaving: 1`.
};

/// A message came from another entry host.
struct urgent_message_received
{
    host_id from;
    urgent_message message;
};

/// The link to an entry host broke, or membership found it dead.
struct urgent_peer_lost
{
    host_id host;
};

/// A runner of this data centre, as the host list shows it.
struct runner_listing
{
    runner_id runner;
    service_id service;
    int slots = 8; ///< For all entry hosts together.
    int connections = 64; ///< For all entry hosts together.
    bool isLeaving = false;
};

/// The host list's complete set of runners of this data centre.
struct runners_listed
{
    std::vector<runner_listing> runners;
};

/// Loads of runners as measured elsewhere, with a lag. Only the routing policies that our own one
/// is compared with read them; an adapter without such measurements never sends this.
struct runner_loads_reported
{
    std::vector<std::pair<runner_id, double>> loads; ///< Requests in progress, of all hosts.
};

/// Another entry host, as membership knows it.
struct urgent_peer_listing
{
    host_id host;
    incarnation epoch = 0;
    data_centre_id dataCentre;
    bool hasSeat = false;
    bool isDraining = false;
    duration roundTrip{0}; ///< Expected time to the host and back.
    std::vector<std::pair<service_id, duration>> expectedWait; ///< By service it can dispatch.
};

/// The complete set of entry hosts that are alive.
struct urgent_peers_listed
{
    std::vector<urgent_peer_listing> peers;
};

/// This host holds a seat, or goes on holding it. Sent again whenever `validUntil` moves.
struct urgent_seat_granted
{
    int seat = 0; ///< From 0.
    int seats = 1; ///< Seats of the data centre, 1 to 8.
    instant validUntil = instant::max(); ///< Nothing is dispatched from this instant on.
    /// False if the former holder may still have requests running, so that the share must first
    /// stay unused. Ignored while the same seat goes on being held.
    bool wasReleased = false;
};

/// This host holds no seat any more, or must not use it until it is granted again.
struct urgent_seat_lost
{ };

/// A team's quota.
struct urgent_team_quota
{
    team_id team;
    int weight = 1; ///< Share relative to the other teams' weights; at least 1.
};

/// A service's declared properties.
struct urgent_service_listing
{
    service_id service;
    duration expectedServiceTime{50000}; ///< Used until answers have been measured.
};

/// The configuration in force: its teams and services.
struct urgent_quotas_applied
{
    std::vector<urgent_team_quota> teams;
    std::vector<urgent_service_listing> services;
};

/// Time has passed; asked for with wake_at.
struct urgent_tick
{ };

/// The host is to stop: it serves for the balancer's delay, then finishes what it has.
struct urgent_drain
{ };

/// Any event with the time at which it happened. Time must not go backwards.
struct urgent_event
{
    instant now;
    std::variant<identifier_asked, request_submitted, outcome_asked, request_caller_gone,
                 runner_result, urgent_message_received, urgent_peer_lost, runners_listed,
                 runner_loads_reported, urgent_peers_listed, urgent_seat_granted, urgent_seat_lost,
                 urgent_quotas_applied, urgent_tick, urgent_drain>
        what;
};

} // namespace crocuswind

#endif
