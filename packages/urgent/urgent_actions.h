/// Defines the actions that the request core returns for the adapter to carry out.
#ifndef CROCUSWIND_URGENT_URGENT_ACTIONS_H
#define CROCUSWIND_URGENT_URGENT_ACTIONS_H

#include "base/base.h"
#include "urgent_events.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace crocuswind {

/// Replies to identifier_asked with a new identifier.
struct reply_identifier
{
    caller_token caller = 0;
    request_id id;
};

/// Replies to request_submitted or outcome_asked, or rejects identifier_asked.
struct reply_outcome
{
    caller_token caller = 0;
    /// Absent only if the caller gave no identifier and none could be issued.
    std::optional<request_id> id;
    request_outcome result;
};

/// Sends a request to a runner (`POST /run`). The pool for the runner must hold no more than
/// `connectionLimit` connections, idle ones included.
struct dispatch_to_runner
{
    attempt_number attempt = 0;
    runner_id runner;
    request_id id;
    instant deadline; ///< Deadline of this attempt. The time left is sent in a header.
    int connectionLimit = 1;
    std::string payload;
    trace_context trace;
};

/// Cancels an attempt whose result is no longer needed, by closing its connection.
struct cancel_attempt
{
    attempt_number attempt = 0;
    runner_id runner;
};

/// Sends a message to another entry host. If the link is down, the adapter drops the message and
/// reports urgent_peer_lost.
struct send_to_peer
{
    host_id to;
    urgent_message message;
};

/// Records a trace span of one completed hop of a request.
struct urgent_span
{
    std::string name; ///< `receive`, `queue`, `forward` or `runner`.
    trace_context context; ///< Identifiers of the trace and of this span.
    std::uint64_t parentSpan = 0; ///< 0 if the span has no parent.
    instant start;
    instant end;
    std::vector<std::pair<std::string, std::string>> attributes;
};

/// Writes a line to the log.
struct urgent_log
{
    std::string text;
};

/// Requests an urgent_tick at this instant. Replaces the previous request for a tick.
struct urgent_wake_at
{
    instant when;
};

/// The drain is complete: no request is left. Leases may be released and the process may exit.
struct urgent_drained
{ };

using urgent_action
    = std::variant<reply_identifier, reply_outcome, dispatch_to_runner, cancel_attempt,
                   send_to_peer, urgent_span, urgent_log, urgent_wake_at, urgent_drained>;

} // namespace crocuswind

#endif
