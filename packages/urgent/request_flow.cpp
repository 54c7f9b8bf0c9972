#include "request_core_state.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>

namespace crocuswind {

namespace {

/// The key of a request of this host is its sequence number. Keys of requests that arrived as
/// dispatch commands start above all of these.
constexpr request_key firstCommandKey = request_key(1) << 62;

/// The expected wait while no runner is healthy: about the time until the next probe.
constexpr duration assumedProbeWait = 500ms;

/// With lognormal service times (standard deviation 0.5 of the logarithm), 98% of requests take
/// less than three times the mean.
constexpr int serviceTimeMarginFactor = 3;

} // namespace

void request_core::state::submit(const request_waiter &waiter, const std::optional<request_id> &id,
                                 instant deadline, const request_content &content)
{
    deadline = std::min(deadline, now + settings.maxTimeLeft);
    if (!id) {
        if (!content.isRepeatable)
            return reply(waiter, id, notRun(outcome_reason::identifier_missing));
        if (isRefusing)
            return reply(waiter, id, notRun(outcome_reason::draining));
        const auto issued = ledger.issue(now);
        if (!issued)
            return reply(waiter, id, notRun(outcome_reason::identifiers_exhausted));
        return accept(waiter, *issued, false, deadline, content);
    }
    switch (ledger.lookUp(*id)) {
    case request_ledger::lookup_result::foreign:
        if (id->home != settings.host && std::holds_alternative<caller_token>(waiter))
            return forwardToHome(std::get<caller_token>(waiter), *id, deadline, content);
        return reply(waiter, id, unknownOutcome(outcome_reason::home_gone));
    case request_ledger::lookup_result::forgotten:
        return reply(waiter, id, unknownOutcome(outcome_reason::identifier_expired));
    case request_ledger::lookup_result::seen: {
        const auto live = requests.find(keyOf(*id));
        if (live == requests.end())
            return reply(waiter, id, ledger.outcomeOf(*id));
        return addWaiter(live->second, waiter);
    }
    case request_ledger::lookup_result::unseen:
        return accept(waiter, *id, false, deadline, content);
    }
}

void request_core::state::accept(const request_waiter &waiter, const request_id &id,
                                 bool isDispatchCommand, instant deadline,
                                 const request_content &content)
{
    live_request r;
    r.id = id;
    r.isDispatchCommand = isDispatchCommand;
    r.key = isDispatchCommand ? firstCommandKey + ++lastCommandKey : keyOf(id);
    if (!isDispatchCommand)
        ledger.markReceived(id);
    r.content = content;
    r.deadline = deadline;
    r.receivedAt = r.queuedAt = now;
    r.parentSpan = content.trace ? content.trace->span : 0;
    r.trace = content.trace ? childSpan(*content.trace, traceRandom) : startTrace(traceRandom);
    const request_key key = r.key;
    live_request &stored = requests.emplace(key, std::move(r)).first->second;
    addWaiter(stored, waiter);
    admit(stored);
}

void request_core::state::addWaiter(live_request &r, const request_waiter &waiter)
{
    if (std::find(r.waiters.begin(), r.waiters.end(), waiter) != r.waiters.end())
        return;
    if (r.waiters.size() >= settings.maxWaiters)
        return reply(waiter, r.id, request_outcome());
    r.waiters.push_back(waiter);
    if (const auto *caller = std::get_if<caller_token>(&waiter))
        callers[*caller] = {pending_operation::kind::request, r.key};
}

void request_core::state::removeWaiter(live_request &r, const request_waiter &waiter)
{
    r.waiters.erase(std::remove(r.waiters.begin(), r.waiters.end(), waiter), r.waiters.end());
    if (!r.waiters.empty())
        return;
    switch (r.currentPhase) {
    case live_request::phase::queued:
    case live_request::phase::backing_off:
        complete(r.key, notRun(outcome_reason::caller_gone));
        break;
    case live_request::phase::running:
        // An unrepeatable request continues; its outcome is recorded for a later query.
        if (r.content.isRepeatable)
            complete(r.key, unknownOutcome(outcome_reason::caller_gone));
        break;
    case live_request::phase::delegated:
        break;
    }
}

service_capacity request_core::state::capacityOf(std::size_t service) const
{
    return {runners.slots(service), runners.freeSlots(service), runners.serviceTime(service)};
}

std::optional<duration> request_core::state::localWait(std::size_t service, std::size_t team,
                                                       urgency level) const
{
    if (!share.isHeld(now) || !runners.hasRunnerFor(service))
        return std::nullopt;
    if (!share.mayDispatch(now))
        return share.usableFrom() - now;
    const service_capacity capacity = capacityOf(service);
    if (capacity.slots == 0)
        return assumedProbeWait;
    return queue.expectedWait(service, team, level, capacity);
}

duration request_core::state::requiredTime(const live_request &r) const
{
    // Service times vary: a request that starts with only the mean service time left often misses
    // its deadline and wastes its slot. The margin is limited to a quarter of the request's initial
    // time left, so that requests with a short deadline are still admitted.
    const duration mean = runners.serviceTime(r.service);
    return std::max(mean,
                    std::min(serviceTimeMarginFactor * mean, (r.deadline - r.receivedAt) / 4));
}

void request_core::state::admit(live_request &r)
{
    if (isRefusing)
        return complete(r.key, notRun(outcome_reason::draining));
    const auto service = runners.findService(r.content.service);
    r.team = queue.findTeam(r.content.team);
    std::optional<duration> wait;
    if (service) {
        r.service = *service;
        wait = localWait(r.service, r.team, r.content.level);
    }
    if (!r.isDispatchCommand) {
        const auto host = fasterHost(r, wait);
        if (host && delegate(r, *host))
            return;
    }
    if (!wait) {
        const bool holdsSeat = share.isHeld(now);
        return complete(
            r.key, notRun(holdsSeat ? outcome_reason::no_runner : outcome_reason::no_capacity));
    }
    if (now + *wait + requiredTime(r) > r.deadline)
        return complete(r.key, notRun(outcome_reason::deadline_too_near));
    const bool isUrgent = r.content.level == urgency::urgent;
    if (isUrgent && *wait > settings.urgentStartLimit)
        return complete(r.key, notRun(outcome_reason::start_too_late));

    std::vector<request_key> displaced;
    const std::size_t bytes = r.content.payload.size();
    const auto refusal = queue.admit(r.service, r.team, r.content.level, r.key, bytes, &displaced);
    const request_key key = r.key;
    if (!refusal) {
        r.heldBytes = bytes;
        const instant startLimit = isUrgent ? now + settings.urgentStartLimit : r.deadline;
        r.due
            = timers.schedule(std::min(r.deadline, startLimit), timer_kind::request_deadline, key);
    }
    for (request_key other : displaced) {
        requests.at(other).heldBytes = 0;
        complete(other, notRun(outcome_reason::displaced));
    }
    if (refusal)
        return complete(key, notRun(*refusal));
    dispatchQueued(*service);
}

void request_core::state::dequeue(live_request &r)
{
    if (r.currentPhase != live_request::phase::queued
        && r.currentPhase != live_request::phase::backing_off)
        return;
    timers.cancel(r.due);
    if (r.currentPhase == live_request::phase::queued)
        queue.remove(r.service, r.team, r.content.level, r.key);
}

void request_core::state::releasePayload(live_request &r)
{
    if (r.heldBytes > 0)
        queue.releaseBytes(r.team, r.heldBytes);
    r.heldBytes = 0;
    r.content.payload = std::string();
}

void request_core::state::complete(request_key key, request_outcome result)
{
    const auto found = requests.find(key);
    CROCUSWIND_INVARIANT(found != requests.end(), std::to_string(key));
    live_request &r = found->second;
    if (result.kind == outcome_kind::not_run && r.mayHaveRun)
        result = unknownOutcome(outcome_reason::runner_silent);
    dequeue(r);
    if (r.currentPhase == live_request::phase::running)
        detachAttempt(r, true);
    releasePayload(r);
    if (!r.isDispatchCommand)
        ledger.recordOutcome(r.id, result);
    span("receive", r.trace, r.parentSpan, r.receivedAt,
         {{"outcome", std::string(toString(result.kind))},
          {"reason", std::string(toString(result.reason))}});
    for (const request_waiter &w : r.waiters) {
        if (const auto *caller = std::get_if<caller_token>(&w))
            callers.erase(*caller);
        reply(w, r.id, result);
    }
    requests.erase(found);
}

void request_core::state::reply(const request_waiter &waiter, const std::optional<request_id> &id,
                                const request_outcome &result)
{
    if (const auto *caller = std::get_if<caller_token>(&waiter)) {
        actions.push_back(reply_outcome{*caller, id, result});
        return;
    }
    const auto &peer = std::get<waiting_peer>(waiter);
    actions.push_back(send_to_peer{
        peer.host,
        forward_answer{id.value_or(request_id()), peer.forwarding, peer.senderEpoch, result}});
}

void request_core::state::span(const char *name, const trace_context &context, std::uint64_t parent,
                               instant start,
                               std::vector<std::pair<std::string, std::string>> attributes)
{
    actions.push_back(urgent_span{name, context, parent, start, now, std::move(attributes)});
}

} // namespace crocuswind
