#include "request_core.h"

#include "request_core_state.h"

#include <algorithm>
#include <fmt/format.h>

namespace crocuswind {

request_core::state::state(const urgent_settings &s)
    : settings(s)
    , routingRandom(s.seed)
    , traceRandom(s.seed ^ 0x9e3779b97f4a7c15)
    , ledger(s.host, s.epoch, s.identifierLifetime, s.maxIdentifiers, s.maxAnswerBytes)
    , dispatchCommands(s.identifierLifetime, s.maxDispatchCommands)
    , share(s.dispatchLimit + s.quarantineMargin)
    , runners(s.routing, s.seed)
    , queue(s)
{ }

void request_core::state::handle(const identifier_asked &e)
{
    if (isRefusing)
        return reply(e.caller, std::nullopt, notRun(outcome_reason::draining));
    const auto id = ledger.issue(now);
    if (!id)
        return reply(e.caller, std::nullopt, notRun(outcome_reason::identifiers_exhausted));
    actions.push_back(reply_identifier{e.caller, *id});
}

void request_core::state::handle(const request_submitted &e)
{
    submit(e.caller, e.id, e.deadline, e.content);
}

void request_core::state::handle(const outcome_asked &e)
{
    if (e.id.home != settings.host)
        return queryHome(e.caller, e.id);
    reply(e.caller, e.id, ledger.outcomeOf(e.id));
}

void request_core::state::handle(const request_caller_gone &e)
{
    const auto found = callers.find(e.caller);
    if (found == callers.end())
        return;
    const pending_operation operation = found->second;
    callers.erase(found);
    switch (operation.what) {
    case pending_operation::kind::request: {
        const auto live = requests.find(operation.number);
        if (live == requests.end())
            return;
        const std::size_t service = live->second.service;
        removeWaiter(live->second, e.caller);
        dispatchQueued(service);
        return;
    }
    case pending_operation::kind::forward:
        forwards.at(operation.number).caller.reset();
        return;
    case pending_operation::kind::query: {
        const auto query = queries.find(operation.number);
        timers.cancel(query->second.due);
        queries.erase(query);
        return;
    }
    }
}

void request_core::state::handle(const runners_listed &e)
{
    runners.updateListings(now, e.runners);
    applyShare();
}

void request_core::state::handle(const runner_loads_reported &e)
{
    runners.reportLoads(e.loads);
}

void request_core::state::handle(const urgent_seat_granted &e)
{
    if (!share.isHeld(now))
        log(fmt::format("acquired seat {} of {}", e.seat, e.seats));
    share.grant(now, e.seat, e.seats, e.validUntil, e.wasReleased);
    applyShare();
}

void request_core::state::handle(const urgent_seat_lost &)
{
    if (share.isHeld(now))
        log("lost the seat");
    share.lose();
    applyShare();
}

void request_core::state::applyShare()
{
    timers.cancel(seatTimer);
    if (share.isHeld(now)) {
        const instant next = now < share.usableFrom()
            ? std::min(share.usableFrom(), share.validUntil())
            : share.validUntil();
        if (next != instant::max())
            seatTimer = timers.schedule(next, timer_kind::seat_change, 0);
    }
    runners.applyShare(now, share);
    reassignQueued();
    dispatchAllQueued();
}

void request_core::state::handle(const urgent_quotas_applied &e)
{
    queue.configure(e.teams);
    for (const urgent_service_listing &s : e.services)
        runners.expectServiceTime(runners.addService(s.service), s.expectedServiceTime);
    dispatchAllQueued();
}

void request_core::state::handle(const urgent_drain &)
{
    if (drainStart)
        return;
    drainStart = now;
    log("draining");
    timers.schedule(now + settings.drainDelay, timer_kind::drain_step, 0);
}

void request_core::state::advanceDrain()
{
    // A dispatched attempt holds its slot for at most dispatchLimit + slotMargin. To complete the
    // drain in time, queued requests are rejected that long before the drain limit.
    const duration flushAt = settings.drainLimit - settings.dispatchLimit - settings.slotMargin;
    ++drainSteps;
    if (drainSteps == 1) {
        isRefusing = true;
        timers.schedule(*drainStart + std::max(flushAt, settings.drainDelay),
                        timer_kind::drain_step, 0);
        return;
    }
    std::vector<request_key> waiting;
    for (const auto &[key, r] : requests) {
        const bool isWaiting = r.currentPhase == live_request::phase::queued
            || r.currentPhase == live_request::phase::backing_off;
        if (isWaiting)
            waiting.push_back(key);
    }
    for (request_key key : waiting)
        complete(key, notRun(outcome_reason::draining));
    if (drainSteps == 2) {
        timers.schedule(*drainStart + settings.drainLimit, timer_kind::drain_step, 0);
        return;
    }
    while (!forwards.empty())
        completeForward(forwards.begin()->first, unknownOutcome(outcome_reason::draining));
}

void request_core::state::runTimers()
{
    while (const auto t = timers.takeDue(now))
        expire(*t);
}

void request_core::state::expire(const timer &t)
{
    switch (t.kind) {
    case timer_kind::request_deadline: {
        const bool hasPassed = now >= requests.at(t.number).deadline;
        return complete(
            t.number,
            notRun(hasPassed ? outcome_reason::deadline_passed : outcome_reason::start_too_late));
    }
    case timer_kind::retry_due: {
        live_request &r = requests.at(t.number);
        const std::size_t service = r.service;
        requeue(r);
        reassignQueued();
        return dispatchQueued(service);
    }
    case timer_kind::attempt_deadline:
        return expireAttempt(t.number);
    case timer_kind::slot_release:
        releaseSlot(t.number);
        return dispatchAllQueued();
    case timer_kind::forward_timeout:
        return completeForward(t.number, unknownOutcome(outcome_reason::peer_silent));
    case timer_kind::query_timeout:
        return completeQuery(t.number, unknownOutcome(outcome_reason::peer_silent));
    case timer_kind::runner_probe:
        runners.startProbing(t.number, now);
        return dispatchAllQueued();
    case timer_kind::seat_change:
        if (!share.isHeld(now))
            log("the seat expired");
        return applyShare();
    case timer_kind::drain_step:
        return advanceDrain();
    }
}

void request_core::state::finishEvent()
{
    dispatchCommands.expire(now);
    const bool isEmpty
        = requests.empty() && attempts.empty() && forwards.empty() && queries.empty();
    if (isRefusing && isEmpty && !hasDrained) {
        hasDrained = true;
        actions.push_back(urgent_drained{});
    }
    const auto next = timers.next();
    if (next && next != wakeAt) {
        wakeAt = next;
        actions.push_back(urgent_wake_at{*next});
    }
}

request_core::request_core(const urgent_settings &settings)
    : m_state(std::make_unique<state>(settings))
{ }

request_core::~request_core() = default;
request_core::request_core(request_core &&) noexcept = default;
request_core &request_core::operator=(request_core &&) noexcept = default;

std::vector<urgent_action> request_core::handle(const urgent_event &event)
{
    m_state->now = std::max(m_state->now, event.now);
    m_state->actions.clear();
    m_state->ledger.expire(m_state->now);
    m_state->runTimers();
    std::visit([this](const auto &e) { m_state->handle(e); }, event.what);
    m_state->finishEvent();
    return std::move(m_state->actions);
}

std::vector<std::pair<service_id, duration>> request_core::expectedWaits() const
{
    std::vector<std::pair<service_id, duration>> waits;
    if (!m_state->share.mayDispatch(m_state->now))
        return waits;
    for (std::size_t s = 0; s < m_state->runners.serviceCount(); ++s) {
        const auto wait = m_state->localWait(s, 0, urgency::urgent);
        if (wait)
            waits.emplace_back(m_state->runners.serviceName(s), *wait);
    }
    return waits;
}

bool request_core::isReady(std::string *reason) const
{
    if (m_state->drainStart) {
        *reason = "draining";
        return false;
    }
    if (m_state->share.mayDispatch(m_state->now))
        return true;
    const bool knowsSeat
        = std::any_of(m_state->peers.begin(), m_state->peers.end(),
                      [](const auto &p) { return p.second.hasSeat && !p.second.isDraining; });
    if (!knowsSeat)
        *reason = "no usable seat, and no other host with a seat is known";
    return knowsSeat;
}

request_counts request_core::counts() const
{
    const state &s = *m_state;
    request_counts c;
    c.identifiers = s.ledger.size();
    c.queued = s.queue.queued();
    for (const auto &[number, a] : s.attempts)
        c.running += a.request != 0 ? 1 : 0;
    c.slotsTaken = s.attempts.size();
    for (std::size_t i = 0; i < s.runners.serviceCount(); ++i)
        c.slots += std::size_t(s.runners.slots(i));
    c.forwarded = s.forwards.size() + s.queries.size();
    c.dispatchCommands = s.dispatchCommands.size();
    c.ejectedRunners = s.runners.countEjected();
    c.leavingRunners = s.runners.countLeaving();
    c.answerBytes = s.ledger.answerBytes();
    c.payloadBytes = s.queue.payloadBytes();
    c.firstAttempts = s.firstAttempts;
    c.retries = s.retries;
    c.mayDispatch = s.share.mayDispatch(s.now);
    c.isDraining = s.drainStart.has_value();
    return c;
}

} // namespace crocuswind
