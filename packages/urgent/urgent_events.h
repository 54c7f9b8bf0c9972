/// Defines the events that the adapter passes to the request core.
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

/// A caller closed its connection before it received a reply.
struct request_caller_gone
{
    caller_token caller = 0;
};

/// The result of a dispatch. The adapter sends exactly one for each dispatch, also after
/// cancel_attempt. The core tolerates a missing result and ignores further results of the same
/// attempt.
struct runner_result
{
    enum class kind {
        answered, ///< Status 200 with the complete body.
        refused_before_start, ///< Status 503 with `x-crocuswind-not-started: 1`.
        not_connected, ///< No connection was established, so nothing was sent.
        /// Bytes may have been sent, but no complete answer arrived or the attempt was cancelled.
        no_answer,
        failed, ///< Any other complete answer.
    };

    attempt_number attempt = 0;
    kind what = kind::no_answer;
    std::string answer; ///< The body, if `answered`.
    std::optional<request_id> echoedId; ///< From `x-crocuswind-request`; must match if `answered`.
    bool isLeaving = false; ///< The answer carried `x-crocuswind-leaving: 1`.
};

/// A message arrived from another entry host.
struct urgent_message_received
{
    host_id from;
    urgent_message message;
};

/// The link to an entry host broke, or membership declared the host dead.
struct urgent_peer_lost
{
    host_id host;
};

/// A runner of this data centre as published in the host list.
struct runner_listing
{
    runner_id runner;
    service_id service;
    int slots = 8; ///< For all entry hosts together.
    int connections = 64; ///< For all entry hosts together.
    bool isLeaving = false;
};

/// The complete set of runners of this data centre in the host list. Replaces the previous set.
struct runners_listed
{
    std::vector<runner_listing> runners;
};

/// Runner loads measured outside this host, which arrive with a lag. Only the baseline policies
/// that least_wait is compared with (least_loaded and two_choices) use them. An adapter without
/// such measurements never sends this event.
struct runner_loads_reported
{
    std::vector<std::pair<runner_id, double>> loads; ///< Requests in progress from all hosts.
};

/// Another entry host as reported by membership.
struct urgent_peer_listing
{
    host_id host;
    incarnation epoch = 0;
    data_centre_id dataCentre;
    bool hasSeat = false;
    bool isDraining = false;
    duration roundTrip{0}; ///< Expected network round-trip time to the host.
    /// Expected queueing time of each service that the host can dispatch.
    std::vector<std::pair<service_id, duration>> expectedWait;
};

/// The complete set of entry hosts that are alive. Replaces the previous set.
struct urgent_peers_listed
{
    std::vector<urgent_peer_listing> peers;
};

/// This host acquired a seat or renewed it. Sent again whenever `validUntil` changes.
struct urgent_seat_granted
{
    int seat = 0; ///< From 0.
    int seats = 1; ///< Number of seats in the data centre, 1 to 8.
    instant validUntil = instant::max(); ///< This host dispatches nothing from this instant on.
    /// False if the former holder may still have requests running, so that this host must leave the
    /// share unused during a quarantine. Ignored when the event renews a seat that is already held.
    bool wasReleased = false;
};

/// This host lost its seat, or must not use it until it is granted again.
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

/// The teams and services of the configuration that is in effect.
struct urgent_quotas_applied
{
    std::vector<urgent_team_quota> teams;
    std::vector<urgent_service_listing> services;
};

/// The instant that the core requested with urgent_wake_at was reached.
struct urgent_tick
{ };

/// The host is to stop. It accepts requests until the load balancer has stopped sending them
/// (urgent_settings::drainDelay), then completes the remaining requests.
struct urgent_drain
{ };

/// Any event with the time at which it happened. Times must not decrease.
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
