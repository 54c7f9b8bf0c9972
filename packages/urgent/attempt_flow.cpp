#include "request_core_state.h"

#include <algorithm>
#include <fmt/format.h>

namespace crocuswind {

namespace {

/// A first attempt is cut to half of the time left only if that is this many usual service times,
/// so that the cut does not end attempts that are merely slow.
constexpr int patience = 4;

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

void request_core::state::pumpAll()
{
    for (std::size_t service = 0; service < runners.serviceCount(); ++service)
        pump(service);
}

void request_core::state::pump(std::size_t service)
{
    // A request for a service that only other hosts know has no number of a service here.
    while (share.mayDispatch(now) && service < runners.serviceCount()) {
        service_capacity capacity = capacityOf(service);
        if (runners.isProbeDue(service))
            capacity.freeSlots = std::max(capacity.freeSlots, 1);
        const auto key = queue.next(service, now, capacity);
        if (!key)
            return;
        live_request &r = requests.at(*key);
        // Work that will most likely end too late would only take slots from work that can succeed.
        if (now + neededTime(r) > r.deadline)
            settle(*key, notRun(outcome_reason::deadline_too_near));
        else if (!dispatch(r))
            return;
    }
}

instant request_core::state::attemptDeadline(const live_request &r) const
{
    const instant full = std::min(r.deadline, now + settings.dispatchLimit);
    const duration half = (full - now) / 2;
    if (r.content.isRepeatable && r.attempts < settings.maxAttempts
        && half >= patience * runners.serviceTime(r.service))
        return now + half;
    return full;
}

bool request_core::state::dispatch(live_request &r)
{
    probe_use probe = probe_use::none;
    if (r.attempts == 0)
        probe = r.content.isRepeatable ? probe_use::any : probe_use::harmless;
    // While work queues, normal requests keep to the slower runners.
    const bool leaveBest = r.content.level == urgency::normal && queue.queuedFor(r.service) > 1;
    const auto runner
        = runners.choose(r.service, now, routingRandom, r.lastRunner, probe, leaveBest);
    if (!runner)
        return false;
    endQueueing(r);
    runners.take(*runner);
    queue.countStart(r.service, r.team, r.content.level, now);
    span("queue", childSpan(r.trace, traceRandom), r.trace.span, r.queuedAt, {});

    ++r.attempts;
    if (r.attempts == 1) {
        ++firstAttempts;
        budgetOf(r.team).earn(settings.retryShare, settings.maxRetryCredit);
    } else {
        ++retries;
    }
    r.now = live_request::phase::running;
    r.mayHaveRunBefore = r.mayHaveRun;
    r.mayHaveRun = true;
    r.lastRunner = *runner;
    r.attempt = ++lastAttempt;

    live_attempt a;
    a.request = r.key;
    a.id = r.id;
    a.isOrder = r.isOrder;
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
        log(fmt::format("runner {} answered {} with another identifier",
                        runners.name(a.runner).value, crocuswind::toString(a.id)));
        what = runner_result::kind::no_answer;
    }
    observe(a, what, e.isLeaving);

    const std::size_t service = a.service;
    const request_key key = a.request;
    if (key == 0) {
        if (what == runner_result::kind::answered && a.isFinal && !a.isOrder)
            ledger.settle(a.id, {outcome_kind::answered, outcome_reason::none, e.answer});
    } else {
        live_request &r = requests.at(key);
        switch (what) {
        case runner_result::kind::answered:
            settle(key, {outcome_kind::answered, outcome_reason::none, e.answer});
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
        // The runner may be working on it until the time left has run out.
        live_attempt &held = attempts.at(e.attempt);
        timers.cancel(held.due);
        held.due = timers.schedule(held.deadline + settings.slotMargin, timer_kind::slot_release,
                                   e.attempt);
    } else {
        releaseSlot(e.attempt);
    }
    pump(service);
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
                                        bool isFree)
{
    r.mayHaveRun = r.mayHaveRunBefore || hasStarted;
    if ((r.content.isRepeatable || !hasStarted) && retry(r, isFree))
        return;
    settle(r.key, r.mayHaveRun ? unknownOutcome(reason) : notRun(reason));
}

bool request_core::state::retry(live_request &r, bool isFree)
{
    if (r.attempts >= settings.maxAttempts || r.waiters.empty() || drainSteps > 1)
        return false;
    const duration pause = isFree
        ? duration(0)
        : backoffBefore(r.attempts + 1, settings.retryBackoff, routingRandom);
    if (now + pause + runners.serviceTime(r.service) > r.deadline)
        return false;
    // A leaving or unreachable runner is taken out at once, so these retries cannot multiply.
    if (!isFree && !budgetOf(r.team).spend())
        return false;
    detachAttempt(r, false);
    if (isFree) {
        enqueueAgain(r);
    } else {
        r.now = live_request::phase::backing_off;
        r.due = timers.schedule(now + pause, timer_kind::retry_due, r.key);
    }
    return true;
}

void request_core::state::enqueueAgain(live_request &r)
{
    r.now = live_request::phase::queued;
    r.queuedAt = now;
    queue.putFirst(r.service, r.team, r.content.level, r.key, r.heldBytes);
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
