/// Defines the records of the requests and attempts that are in progress.
#ifndef CROCUSWIND_URGENT_LIVE_REQUEST_H
#define CROCUSWIND_URGENT_LIVE_REQUEST_H

#include "admission_queue.h"
#include "timer_queue.h"
#include "urgent_actions.h"
#include "urgent_events.h"

#include <optional>
#include <variant>
#include <vector>

namespace crocuswind {

/// An entry host that awaits a forward_answer.
struct waiting_peer
{
    host_id host;
    std::uint64_t forwarding = 0;
    incarnation senderEpoch = 0;

    friend bool operator==(const waiting_peer &a, const waiting_peer &b)
    {
        return std::tie(a.host, a.forwarding, a.senderEpoch)
            == std::tie(b.host, b.forwarding, b.senderEpoch);
    }
};

/// A caller or a peer that awaits the outcome of a request.
using request_waiter = std::variant<caller_token, waiting_peer>;

/// A request that has no outcome yet.
struct live_request
{
    enum class phase {
        queued,
        backing_off, ///< Waits for the backoff before its next attempt.
        running, ///< Dispatched to a runner.
        delegated, ///< Another host was sent a dispatch command for it.
    };

    request_key key = 0;
    request_id id;
    /// The request arrived as a dispatch command; its home is the host that sent the command.
    bool isDispatchCommand = false;
    request_content content;
    instant deadline;
    std::size_t service = 0; ///< Service number in runner_table.
    std::size_t team = 0; ///< Team number in admission_queue.
    std::vector<request_waiter> waiters;
    phase currentPhase = phase::queued;
    std::size_t heldBytes = 0; ///< Payload size that admission_queue counts for this request.
    int attempts = 0;
    /// A byte of the request may have reached a runner that did not refuse it before the start. The
    /// outcome cannot be `not_run` while this is set.
    bool mayHaveRun = false;
    bool mayHaveRunBefore = false; ///< Value of mayHaveRun before the current attempt.
    attempt_number attempt = 0; ///< The attempt whose result is awaited, if running.
    std::optional<std::size_t> lastRunner;
    std::uint64_t forwarding = 0; ///< Number of the pending_forward, if delegated.
    timer due; ///< Deadline timer while queued, retry timer while backing off.
    trace_context trace;
    std::uint64_t parentSpan = 0;
    instant receivedAt;
    instant queuedAt;
};

/// A dispatch that occupies a slot. The slot is held until the runner can no longer be working on
/// the request.
struct live_attempt
{
    request_key request = 0; ///< 0 once no request awaits the result.
    request_id id; ///< Must match the identifier that the runner echoes.
    bool isDispatchCommand = false;
    std::size_t runner = 0;
    std::size_t service = 0;
    std::size_t team = 0;
    urgency level = urgency::normal;
    instant start;
    instant deadline;
    bool hasResult = false; ///< The result arrived and the connection was released.
    bool isObserved = false; ///< The runner's health was updated from this attempt.
    bool isCancelled = false;
    /// The last attempt of a request that completed without it. A late answer may still change the
    /// outcome from `unknown` to `answered`.
    bool isFinal = false;
    timer due; ///< Deadline timer, then the timer that releases the slot.
    trace_context trace;
    std::uint64_t parentSpan = 0;
};

} // namespace crocuswind

#endif
