/// Defines the state of the request core. Its functions are in several files by concept:
/// request_flow (arrival, admission, outcome), attempt_flow (dispatch, result, retry), peer_flow
/// (forwarding and questions) and request_core (events, seat, drain, checks).
#ifndef CROCUSWIND_URGENT_REQUEST_CORE_STATE_H
#define CROCUSWIND_URGENT_REQUEST_CORE_STATE_H

#include "admission_queue.h"
#include "capacity_share.h"
#include "live_request.h"
#include "order_record.h"
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
    std::optional<caller_token> caller; ///< If sent to the home for a caller that still waits.
    request_key request = 0; ///< If sent as a dispatch order.
    timer due;
    trace_context trace;
    std::uint64_t parentSpan = 0;
    instant start;
};

/// An ask_outcome that awaits its answer.
struct pending_question
{
    host_id host;
    request_id id;
    caller_token caller = 0;
    timer due;
};

/// What a caller waits for.
struct caller_place
{
    enum class kind { request, forward, query };

    kind what = kind::request;
    std::uint64_t number = 0;
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
    order_record orders;
    capacity_share share;
    runner_table runners;
    admission_queue queue;
    timer_queue timers;
    std::vector<retry_budget> budgets; ///< By team.
    std::map<request_key, live_request> requests;
    std::map<attempt_number, live_attempt> attempts;
    std::map<std::uint64_t, pending_forward> forwards;
    std::map<std::uint64_t, pending_question> questions;
    std::map<host_id, urgent_peer_listing> peers;
    std::unordered_map<caller_token, caller_place> callers; ///< Looked up only, never iterated.

    attempt_number lastAttempt = 0;
    std::uint64_t lastForwarding = 0; ///< Also numbers questions.
    std::uint64_t lastOrderKey = 0;
    std::optional<instant> wakeAt; ///< As last asked for.
    timer seatTimer;
    std::optional<instant> drainStart;
    int drainSteps = 0;
    bool isRefusing = false; ///< The balancer's delay after a drain is over.
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
        // A tick that comes early by rounding must ask again for the same instant.
        wakeAt.reset();
    }
    void handle(const urgent_drain &e);
    void runTimers();
    void expire(const timer &t);
    void applyShare();
    void stepDrain();
    void finishEvent();

    // request_flow.cpp
    void submit(const request_waiter &waiter, const std::optional<request_id> &id, instant deadline,
                const request_content &content);
    void accept(const request_waiter &waiter, const request_id &id, bool isOrder, instant deadline,
                const request_content &content);
    void admit(live_request &r);
    void join(live_request &r, const request_waiter &waiter);
    void leave(live_request &r, const request_waiter &waiter);
    void settle(request_key key, request_outcome result);
    void reply(const request_waiter &waiter, const std::optional<request_id> &id,
               const request_outcome &result);
    void endQueueing(live_request &r);
    duration neededTime(const live_request &r) const;
    void releasePayload(live_request &r);
    service_capacity capacityOf(std::size_t service) const;
    std::optional<duration> localWait(std::size_t service, std::size_t team, urgency level) const;
    static request_key keyOf(const request_id &id) { return request_key(id.sequence); }

    // attempt_flow.cpp
    void pump(std::size_t service);
    void pumpAll();
    bool dispatch(live_request &r);
    void attemptFailed(live_request &r, outcome_reason reason, bool hasStarted, bool isFree);
    bool retry(live_request &r, bool isFree);
    void expireAttempt(attempt_number number);
    void releaseSlot(attempt_number number);
    void detachAttempt(live_request &r, bool isFinal);
    void observe(live_attempt &a, runner_result::kind what, bool isLeaving);
    void enqueueAgain(live_request &r);
    instant attemptDeadline(const live_request &r) const;
    retry_budget &budgetOf(std::size_t team);

    // peer_flow.cpp
    void forwardToHome(caller_token caller, const request_id &id, instant deadline,
                       const request_content &content);
    bool order(live_request &r, const host_id &host);
    std::optional<host_id> betterHost(const live_request &r,
                                      const std::optional<duration> &localWait);
    void receive(const host_id &from, const forward_request &m);
    void receive(const host_id &from, const forward_answer &m);
    void receive(const host_id &from, const ask_outcome &m);
    void receive(const host_id &from, const outcome &m);
    void askHome(caller_token caller, const request_id &id);
    void endForward(std::uint64_t number, const request_outcome &result);
    void endQuestion(std::uint64_t number, const request_outcome &result);
    void moveQueuedAway();
    bool isGone(const request_id &id) const;

    void span(const char *name, const trace_context &context, std::uint64_t parent, instant start,
              std::vector<std::pair<std::string, std::string>> attributes);
    void log(std::string text) { actions.push_back(urgent_log{std::move(text)}); }
};

} // namespace crocuswind

#endif
