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

/// Who awaits the outcome of a request.
using request_waiter = std::variant<caller_token, waiting_peer>;

/// A request that has no outcome yet.
struct live_request
{
    enum class phase {
        queued,
        backing_off, ///< Waits for its next attempt.
        running, ///< A runner has it.
        ordered, ///< Another host was ordered to dispatch it.
    };

    request_key key = 0;
    request_id id;
    bool isOrder = false; ///< The home is another host, which ordered the dispatch.
    request_content content;
    instant deadline;
    std::size_t service = 0; ///< As numbered by runner_table.
    std::size_t team = 0; ///< As numbered by admission_queue.
    std::vector<request_waiter> waiters;
    phase now = phase::queued;
    std::size_t heldBytes = 0; ///< Payload counted by admission_queue.
    int attempts = 0;
    /// A byte of the request may have reached a runner that did not refuse it before the start.
    /// Once set, the outcome can no longer be `not_run`.
    bool mayHaveRun = false;
    bool mayHaveRunBefore = false; ///< The same, without the attempt that is running.
    attempt_number attempt = 0; ///< The attempt whose result counts, if running.
    std::optional<std::size_t> lastRunner;
    std::uint64_t forwarding = 0; ///< If ordered.
    timer due; ///< Of the deadline while queued, of the retry while backing off.
    trace_context trace;
    std::uint64_t parentSpan = 0;
    instant receivedAt;
    instant queuedAt;
};

/// A dispatch whose slot is taken: from the dispatch until the runner cannot be working on it any
/// more.
struct live_attempt
{
    request_key request = 0; ///< 0 once no request awaits its result.
    request_id id; ///< Checked against the identifier that the runner repeats.
    bool isOrder = false;
    std::size_t runner = 0;
    std::size_t service = 0;
    std::size_t team = 0;
    urgency level = urgency::normal;
    instant start;
    instant deadline;
    bool hasResult = false; ///< The connection was returned.
    bool isObserved = false; ///< The runner's health was judged by this attempt.
    bool isCancelled = false;
    /// It was the last attempt of a request that is settled; only its answer may come late.
    bool isFinal = false;
    timer due; ///< Of the deadline, then of the release of the slot.
    trace_context trace;
    std::uint64_t parentSpan = 0;
};

} // namespace crocuswind

#endif
