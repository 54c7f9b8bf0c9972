/// Defines the state of the request core. Its functions are split by concept over several files:
/// request_flow (arrival, admission, outcome), attempt_flow (dispatch, result, retry), peer_flow
/// (forwarding and outcome queries), request_core (events, seat, drain) and request_core_checks
/// (invariants).
#ifndef CROCUSWIND_URGENT_REQUEST_CORE_STATE_H
#define CROCUSWIND_URGENT_REQUEST_CORE_STATE_H

#include "admission_queue.h"
#include "capacity_share.h"
#include "dispatch_command_record.h"
#include "live_request.h"
#include "request_core.h"
#include "request_ledger.h"
#include "retry_budget.h"
#include "runner_table.h"
#include "timer_queue.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace crocuswind {

/// A forward_request that awaits its answer.
struct pending_forward
{
    host_id host;
    request_id id;
    std::optional<caller_token> caller; ///< Set if sent to the home for a caller that still waits.
    request_key request = 0; ///< The delegated request if sent as a dispatch command, else 0.
    timer due;
    trace_context trace;
    std::uint64_t parentSpan = 0;
    instant start;
};

/// An ask_outcome that awaits its answer.
struct pending_query
{
    host_id host;
    request_id id;
    caller_token caller = 0;
    timer due;
};

/// The operation that a caller waits for.
struct pending_operation
{
    enum class kind { request, forward, query };

    kind what = kind::request;
    std::uint64_t number = 0; ///< A request_key, or the number of the forward or query, by kind.
};

struct request_core::state
{
    explicit state(const urgent_settings &s);

    urgent_settings settings;
    instant now;
    std::vector<urgent_action> actions;
    seeded_random routingRandom;
    seeded_random traceRandom;

    request_ledger ledger;
    dispatch_command_record dispatchCommands;
    capacity_share share;
    runner_table runners;
    admission_queue queue;
    timer_queue timers;
    std::vector<retry_budget> budgets; ///< By team.
    std::map<request_key, live_request> requests;
    std::map<attempt_number, live_attempt> attempts;
    std::map<std::uint64_t, pending_forward> forwards;
    std::map<std::uint64_t, pending_query> queries;
    std::map<host_id, urgent_peer_listing> peers;
    std::unordered_map<caller_token, pending_operation>
        callers; ///< Looked up only, never iterated.

    attempt_number lastAttempt = 0;
    std::uint64_t lastForwarding = 0; ///< Last number given to a forward or a query.
    std::uint64_t lastCommandKey = 0;
    std::optional<instant> wakeAt; ///< Instant of the last urgent_wake_at.
    timer seatTimer;
    std::optional<instant> drainStart;
    int drainSteps = 0;
    bool isRefusing = false; ///< The drain delay is over and new requests are rejected.
    bool hasDrained = false;
    std::uint64_t firstAttempts = 0;
    std::uint64_t retries = 0;

    // request_core.cpp
    void handle(const identifier_asked &e);
    void handle(const request_submitted &e);
    void handle(const outcome_asked &e);
    void handle(const request_caller_gone &e);
    void handle(const runner_result &e);
    void handle(const urgent_message_received &e);
    void handle(const urgent_peer_lost &e);
    void handle(const runners_listed &e);
    void handle(const runner_loads_reported &e);
    void handle(const urgent_peers_listed &e);
    void handle(const urgent_seat_granted &e);
    void handle(const urgent_seat_lost &e);
    void handle(const urgent_quotas_applied &e);
    void handle(const urgent_tick &)
    {
        // A tick can arrive early because of rounding; the same instant is then requested again.
        wakeAt.reset();
    }
    void handle(const urgent_drain &e);
    void runTimers();
    void expire(const timer &t);
    /// Recomputes the runners' limits after the seat has changed, and dispatches or delegates
    /// queued requests accordingly.
    void applyShare();
    /// Carries out the next step of a drain: reject new requests, then reject queued ones, then end
    /// the pending forwards.
    void advanceDrain();
    /// Appends the actions that follow every event: urgent_drained and urgent_wake_at.
    void finishEvent();

    // request_flow.cpp
    /// Handles a request at its home, from a caller or from a peer, by the state of its identifier.
    void submit(const request_waiter &waiter, const std::optional<request_id> &id, instant deadline,
                const request_content &content);
    void accept(const request_waiter &waiter, const request_id &id, bool isDispatchCommand,
                instant deadline, const request_content &content);
    /// Delegates, queues or rejects a new request. May destroy \p r.
    void admit(live_request &r);
    void addWaiter(live_request &r, const request_waiter &waiter);
    /// Removes a caller or peer that is gone. Cancels the request if nobody waits for it any more,
    /// unless it is unrepeatable and running, or delegated.
    void removeWaiter(live_request &r, const request_waiter &waiter);
    /// Records the outcome of a request, replies to all its waiters and destroys it. `not_run` is
    /// changed to `unknown` if the request may have run.
    void complete(request_key key, request_outcome result);
    void reply(const request_waiter &waiter, const std::optional<request_id> &id,
               const request_outcome &result);
    /// Removes a request from the queue and cancels its timer. Does nothing if it is neither queued
    /// nor backing off.
    void dequeue(live_request &r);
    /// Returns the time left that a request needs at its start to be likely to meet its deadline.
    duration requiredTime(const live_request &r) const;
    void releasePayload(live_request &r);
    service_capacity capacityOf(std::size_t service) const;
    /// Returns the expected queueing time on this host, or nothing if it holds no seat or has no
    /// runner for the service.
    std::optional<duration> localWait(std::size_t service, std::size_t team, urgency level) const;
    static request_key keyOf(const request_id &id) { return request_key(id.sequence); }

    // attempt_flow.cpp
    /// Dispatches queued requests of a service while slots are free, and rejects those that would
    /// most likely miss their deadline.
    void dispatchQueued(std::size_t service);
    void dispatchAllQueued();
    /// Dispatches a queued request to a runner. Returns false if no runner may receive it.
    bool dispatch(live_request &r);
    /// Retries or completes a request after a failed attempt. \p hasStarted is true if the runner
    /// may have started it. If \p skipsBudget, a retry is immediate and needs no retry credit.
    void attemptFailed(live_request &r, outcome_reason reason, bool hasStarted, bool skipsBudget);
    bool retry(live_request &r, bool skipsBudget);
    void expireAttempt(attempt_number number);
    void releaseSlot(attempt_number number);
    /// Detaches the current attempt from its request and cancels it if its result is missing. The
    /// attempt keeps its slot.
    void detachAttempt(live_request &r, bool isFinal);
    /// Updates the runner's health from the first result or the timeout of an attempt.
    void observe(live_attempt &a, runner_result::kind what, bool isLeaving);
    void requeue(live_request &r);
    instant attemptDeadline(const live_request &r) const;
    retry_budget &budgetOf(std::size_t team);

    // peer_flow.cpp
    void forwardToHome(caller_token caller, const request_id &id, instant deadline,
                       const request_content &content);
    /// Sends a dispatch command for a request to another host. Returns false if too many forwards
    /// are pending.
    bool delegate(live_request &r, const host_id &host);
    /// Returns a host with a seat that is expected to start the request sooner than this host and
    /// before its deadline, or nothing. \p localWait is absent if this host cannot dispatch it.
    std::optional<host_id> fasterHost(const live_request &r,
                                      const std::optional<duration> &localWait);
    void receive(const host_id &from, const forward_request &m);
    void receive(const host_id &from, const forward_answer &m);
    void receive(const host_id &from, const ask_outcome &m);
    void receive(const host_id &from, const outcome &m);
    void queryHome(caller_token caller, const request_id &id);
    void completeForward(std::uint64_t number, const request_outcome &result);
    void completeQuery(std::uint64_t number, const request_outcome &result);
    /// While this host holds no seat, delegates the queued requests of this home to other hosts and
    /// rejects those that arrived as dispatch commands.
    void reassignQueued();
    /// Returns true if the home of an identifier is not alive or has restarted.
    bool isHomeGone(const request_id &id) const;

    void span(const char *name, const trace_context &context, std::uint64_t parent, instant start,
              std::vector<std::pair<std::string, std::string>> attributes);
    void log(std::string text) { actions.push_back(urgent_log{std::move(text)}); }
};

} // namespace crocuswind

#endif
