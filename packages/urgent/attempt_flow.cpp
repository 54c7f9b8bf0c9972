#include "request_core_state.h"

#include <algorithm>
#include <fmt/format.h>

namespace crocuswind {

namespace {

/// An attempt that can be retried gets a deadline at half of the time left, but only if that half
/// is at least this many mean service times. Otherwise merely slow attempts would be cut off.
constexpr int minServiceTimesToCut = 4;

std::string_view toString(runner_result::kind what)
{
    switch (what) {
    case runner_result::kind::answered:
        return "answered";
    case runner_result::kind::refused_before_start:
        return "refused_before_start";
    case runner_result::kind::not_connected:
        return "not_connected";
    case runner_result::kind::no_answer:
        return "no_answer";
    case runner_result::kind::failed:
        break;
    }
    return "failed";
}

} // namespace

retry_budget &request_core::state::budgetOf(std::size_t team)
{
    if (budgets.size() <= team)
        budgets.resize(queue.teamCount());
    return budgets[team];
}

void request_core::state::dispatchAllQueued()
{
    for (std::size_t service = 0; service < runners.serviceCount(); ++service)
        dispatchQueued(service);
}

void request_core::state::dispatchQueued(std::size_t service)
{
    // A service that only other hosts know has no number in this host's runner table, so `service`
    // can be out of range here.
    while (share.mayDispatch(now) && service < runners.serviceCount()) {
        service_capacity capacity = capacityOf(service);
        if (runners.isProbeDue(service))
            capacity.freeSlots = std::max(capacity.freeSlots, 1);
        const auto key = queue.next(service, now, capacity);
        if (!key)
            return;
        live_request &r = requests.at(*key);
        // A request that will most likely miss its deadline would waste a slot that another request
        // could use.
        if (now + requiredTime(r) > r.deadline)
            complete(*key, notRun(outcome_reason::deadline_too_near));
        else if (!dispatch(r))
            return;
    }
}

instant request_core::state::attemptDeadline(const live_request &r) const
{
    const instant full = std::min(r.deadline, now + settings.dispatchLimit);
    const duration half = (full - now) / 2;
    if (r.content.isRepeatable && r.attempts < settings.maxAttempts
        && half >= minServiceTimesToCut * runners.serviceTime(r.service))
        return now + half;
    return full;
}

bool request_core::state::dispatch(live_request &r)
{
    probe_use probe = probe_use::none;
    if (r.attempts == 0)
        probe = r.content.isRepeatable ? probe_use::any : probe_use::harmless;
    // While further requests are queued, normal requests use the slower runners.
    const bool reserveBest = r.content.level == urgency::normal && queue.queuedFor(r.service) > 1;
    const auto runner
        = runners.choose(r.service, now, routingRandom, r.lastRunner, probe, reserveBest);
    if (!runner)
        return false;
    dequeue(r);
    runners.take(*runner);
    queue.countStart(r.service, r.team, r.content.level, now);
    span("queue", childSpan(r.trace, traceRandom), r.trace.span, r.queuedAt, {});

    ++r.attempts;
    if (r.attempts == 1) {
        ++firstAttempts;
        budgetOf(r.team).earn(settings.retryRatio, settings.maxRetryCredit);
    } else {
        ++retries;
    }
    r.currentPhase = live_request::phase::running;
    r.mayHaveRunBefore = r.mayHaveRun;
    r.mayHaveRun = true;
    r.lastRunner = *runner;
    r.attempt = ++lastAttempt;

    live_attempt a;
    a.request = r.key;
    a.id = r.id;
    a.isDispatchCommand = r.isDispatchCommand;
    a.runner = *runner;
    a.service = r.service;
    a.team = r.team;
    a.level = r.content.level;
    a.start = now;
    a.deadline = attemptDeadline(r);
    a.due = timers.schedule(a.deadline, timer_kind::attempt_deadline, r.attempt);
    a.trace = childSpan(r.trace, traceRandom);
    a.parentSpan = r.trace.span;
    actions.push_back(dispatch_to_runner{r.attempt, runners.name(*runner), r.id, a.deadline,
                                         runners.connectionLimit(*runner), r.content.payload,
                                         a.trace});
    attempts.emplace(r.attempt, a);
    if (r.attempts >= settings.maxAttempts)
        releasePayload(r);
    return true;
}

void request_core::state::handle(const runner_result &e)
{
    const auto found = attempts.find(e.attempt);
    if (found == attempts.end() || found->second.hasResult)
        return;
    live_attempt &a = found->second;
    a.hasResult = true;
    runners.releaseConnection(a.runner);
    runner_result::kind what = e.what;
    if (what == runner_result::kind::answered && e.echoedId != a.id) {
        log(fmt::format("runner {} answered request {} with a different identifier",
                        runners.name(a.runner).value, crocuswind::toString(a.id)));
        what = runner_result::kind::no_answer;
    }
    observe(a, what, e.isLeaving);

    const std::size_t service = a.service;
    const request_key key = a.request;
    if (key == 0) {
        if (what == runner_result::kind::answered && a.isFinal && !a.isDispatchCommand)
            ledger.recordOutcome(a.id, {outcome_kind::answered, outcome_reason::none, e.answer});
    } else {
        live_request &r = requests.at(key);
        switch (what) {
        case runner_result::kind::answered:
            complete(key, {outcome_kind::answered, outcome_reason::none, e.answer});
            break;
        case runner_result::kind::refused_before_start:
            attemptFailed(r, outcome_reason::refused_by_runner, false, e.isLeaving);
            break;
        case runner_result::kind::not_connected:
            attemptFailed(r, outcome_reason::refused_by_runner, false, true);
            break;
        case runner_result::kind::no_answer:
            attemptFailed(r, outcome_reason::runner_silent, true, false);
            break;
        case runner_result::kind::failed:
            attemptFailed(r, outcome_reason::runner_failed, true, false);
            break;
        }
    }
    if (what == runner_result::kind::no_answer) {
        // The runner may work on the request until its time left has run out, so the slot is held
        // until then.
        live_attempt &held = attempts.at(e.attempt);
        timers.cancel(held.due);
        held.due = timers.schedule(held.deadline + settings.slotMargin, timer_kind::slot_release,
                                   e.attempt);
    } else {
        releaseSlot(e.attempt);
    }
    dispatchQueued(service);
}

void request_core::state::observe(live_attempt &a, runner_result::kind what, bool isLeaving)
{
    if (a.isObserved)
        return;
    a.isObserved = true;
    std::string text;
    const auto probeAt
        = runners.observe(a.runner, now, what, now - a.start, isLeaving, routingRandom, &text);
    if (probeAt)
        timers.schedule(*probeAt, timer_kind::runner_probe, a.runner);
    if (!text.empty())
        log(text);
    span("runner", a.trace, a.parentSpan, a.start,
         {{"runner", runners.name(a.runner).value}, {"result", std::string(toString(what))}});
}

void request_core::state::attemptFailed(live_request &r, outcome_reason reason, bool hasStarted,
                                        bool skipsBudget)
{
    r.mayHaveRun = r.mayHaveRunBefore || hasStarted;
    if ((r.content.isRepeatable || !hasStarted) && retry(r, skipsBudget))
        return;
    complete(r.key, r.mayHaveRun ? unknownOutcome(reason) : notRun(reason));
}

bool request_core::state::retry(live_request &r, bool skipsBudget)
{
    if (r.attempts >= settings.maxAttempts || r.waiters.empty() || drainSteps > 1)
        return false;
    const duration pause = skipsBudget
        ? duration(0)
        : backoffBefore(r.attempts + 1, settings.retryBackoff, routingRandom);
    if (now + pause + runners.serviceTime(r.service) > r.deadline)
        return false;
    // A leaving or unreachable runner receives no further requests, so the number of retries that
    // skip the budget is limited.
    if (!skipsBudget && !budgetOf(r.team).spend())
        return false;
    detachAttempt(r, false);
    if (skipsBudget) {
        requeue(r);
    } else {
        r.currentPhase = live_request::phase::backing_off;
        r.due = timers.schedule(now + pause, timer_kind::retry_due, r.key);
    }
    return true;
}

void request_core::state::requeue(live_request &r)
{
    r.currentPhase = live_request::phase::queued;
    r.queuedAt = now;
    queue.pushFront(r.service, r.team, r.content.level, r.key, r.heldBytes);
    r.due = timers.schedule(r.deadline, timer_kind::request_deadline, r.key);
}

void request_core::state::detachAttempt(live_request &r, bool isFinal)
{
    const auto found = attempts.find(r.attempt);
    r.attempt = 0;
    if (found == attempts.end())
        return;
    live_attempt &a = found->second;
    a.request = 0;
    a.isFinal = isFinal;
    if (a.hasResult || a.isCancelled)
        return;
    a.isCancelled = true;
    actions.push_back(cancel_attempt{found->first, runners.name(a.runner)});
    if (!a.isObserved) {
        a.isObserved = true;
        runners.observeCancelled(a.runner);
        span("runner", a.trace, a.parentSpan, a.start,
             {{"runner", runners.name(a.runner).value}, {"result", "cancelled"}});
    }
}

void request_core::state::expireAttempt(attempt_number number)
{
    const auto found = attempts.find(number);
    if (found == attempts.end())
        return;
    live_attempt &a = found->second;
    observe(a, runner_result::kind::no_answer, false);
    a.due = timers.schedule(a.deadline + settings.slotMargin, timer_kind::slot_release, number);
    if (a.request != 0)
        attemptFailed(requests.at(a.request), outcome_reason::runner_silent, true, false);
}

void request_core::state::releaseSlot(attempt_number number)
{
    const auto found = attempts.find(number);
    if (found == attempts.end())
        return;
    const live_attempt &a = found->second;
    CROCUSWIND_INVARIANT(a.request == 0, crocuswind::toString(a.id));
    timers.cancel(a.due);
    if (!a.hasResult)
        runners.releaseConnection(a.runner);
    runners.releaseSlot(a.runner);
    queue.countEnd(a.service, a.team, a.level, now);
    attempts.erase(found);
}

} // namespace crocuswind
