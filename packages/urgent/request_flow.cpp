#include "request_core_state.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>

namespace crocuswind {

namespace {

/// Keys of dispatch orders lie above those of this host's own requests, which are their sequences.
constexpr request_key firstOrderKey = request_key(1) << 62;

/// While no runner is healthy, the next probe is about this far away.
constexpr duration waitForProbe = 500ms;

/// With lognormal service times of spread 0.5, 98% take less than three times the mean.
constexpr int marginFactor = 3;

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
    switch (ledger.look(*id)) {
    case request_ledger::standing::foreign:
        if (id->home != settings.host && std::holds_alternative<caller_token>(waiter))
            return forwardToHome(std::get<caller_token>(waiter), *id, deadline, content);
        return reply(waiter, id, unknownOutcome(outcome_reason::home_gone));
    case request_ledger::standing::forgotten:
        return reply(waiter, id, unknownOutcome(outcome_reason::identifier_expired));
    case request_ledger::standing::seen: {
        const auto live = requests.find(keyOf(*id));
        if (live == requests.end())
            return reply(waiter, id, ledger.outcomeOf(*id));
        return join(live->second, waiter);
    }
    case request_ledger::standing::unseen:
        return accept(waiter, *id, false, deadline, content);
    }
}

void request_core::state::accept(const request_waiter &waiter, const request_id &id, bool isOrder,
                                 instant deadline, const request_content &content)
{
    live_request r;
    r.id = id;
    r.isOrder = isOrder;
    r.key = isOrder ? firstOrderKey + ++lastOrderKey : keyOf(id);
    if (!isOrder)
        ledger.begin(id);
    r.content = content;
    r.deadline = deadline;
    r.receivedAt = r.queuedAt = now;
    r.parentSpan = content.trace ? content.trace->span : 0;
    r.trace = content.trace ? childSpan(*content.trace, traceRandom) : startTrace(traceRandom);
    const request_key key = r.key;
    live_request &stored = requests.emplace(key, std::move(r)).first->second;
    join(stored, waiter);
    admit(stored);
}

void request_core::state::join(live_request &r, const request_waiter &waiter)
{
    if (std::find(r.waiters.begin(), r.waiters.end(), waiter) != r.waiters.end())
        return;
    if (r.waiters.size() >= settings.maxWaiters)
        return reply(waiter, r.id, request_outcome());
    r.waiters.push_back(waiter);
    if (const auto *caller = std::get_if<caller_token>(&waiter))
        callers[*caller] = {caller_place::kind::request, r.key};
}

void request_core::state::leave(live_request &r, const request_waiter &waiter)
{
    r.waiters.erase(std::remove(r.waiters.begin(), r.waiters.end(), waiter), r.waiters.end());
    if (!r.waiters.empty())
        return;
    switch (r.now) {
    case live_request::phase::queued:
    case live_request::phase::backing_off:
        settle(r.key, notRun(outcome_reason::caller_gone));
        break;
    case live_request::phase::running:
        // An unrepeatable request goes on: its outcome is kept for a later query.
        if (r.content.isRepeatable)
            settle(r.key, unknownOutcome(outcome_reason::caller_gone));
        break;
    case live_request::phase::ordered:
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
        return waitForProbe;
    return queue.expectedWait(service, team, level, capacity);
}

duration request_core::state::neededTime(const live_request &r) const
{
    // Service times scatter: work that starts with only the mean time left often ends too late, and
    // its slot is wasted. A short deadline leaves no room for that margin.
    const duration mean = runners.serviceTime(r.service);
    return std::max(mean, std::min(marginFactor * mean, (r.deadline - r.receivedAt) / 4));
}

void request_core::state::admit(live_request &r)
{
    if (isRefusing)
        return settle(r.key, notRun(outcome_reason::draining));
    const auto service = runners.findService(r.content.service);
    r.team = queue.findTeam(r.content.team);
    std::optional<duration> wait;
    if (service) {
        r.service = *service;
        wait = localWait(r.service, r.team, r.content.level);
    }
    if (!r.isOrder) {
        const auto host = betterHost(r, wait);
        if (host && order(r, *host))
            return;
    }
    if (!wait) {
        const bool isSeated = share.isHeld(now);
        return settle(r.key,
                      notRun(isSeated ? outcome_reason::no_runner : outcome_reason::no_capacity));
    }
    if (now + *wait + neededTime(r) > r.deadline)
        return settle(r.key, notRun(outcome_reason::deadline_too_near));
    const bool isUrgent = r.content.level == urgency::urgent;
    if (isUrgent && *wait > settings.urgentStartLimit)
        return settle(r.key, notRun(outcome_reason::start_too_late));

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
        settle(other, notRun(outcome_reason::displaced));
    }
    if (refusal)
        return settle(key, notRun(*refusal));
    pump(*service);
}

void request_core::state::endQueueing(live_request &r)
{
    if (r.now != live_request::phase::queued && r.now != live_request::phase::backing_off)
        return;
    timers.cancel(r.due);
    if (r.now == live_request::phase::queued)
        queue.remove(r.service, r.team, r.content.level, r.key);
}

void request_core::state::releasePayload(live_request &r)
{
    if (r.heldBytes > 0)
        queue.discard(r.team, r.heldBytes);
    r.heldBytes = 0;
    r.content.payload = std::string();
}

void request_core::state::settle(request_key key, request_outcome result)
{
    const auto found = requests.find(key);
    CROCUSWIND_INVARIANT(found != requests.end(), std::to_string(key));
    live_request &r = found->second;
    if (result.kind == outcome_kind::not_run && r.mayHaveRun)
        result = unknownOutcome(outcome_reason::runner_silent);
    endQueueing(r);
    if (r.now == live_request::phase::running)
        detachAttempt(r, true);
    releasePayload(r);
    if (!r.isOrder)
        ledger.settle(r.id, result);
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
