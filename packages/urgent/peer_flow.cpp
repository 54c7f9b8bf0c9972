#include "request_core_state.h"

#include <algorithm>
#include <fmt/format.h>

namespace crocuswind {

namespace {

/// Hosts whose expected times differ by less than this count as equal, and one is drawn. Otherwise
/// all hosts would forward to the same one until its next report.
constexpr duration equalTime = 2ms;

} // namespace

bool request_core::state::isGone(const request_id &id) const
{
    // A lower incarnation than the identifier's means that membership lags behind.
    const auto found = peers.find(id.home);
    return found == peers.end() || found->second.epoch > id.epoch;
}

void request_core::state::forwardToHome(caller_token caller, const request_id &id, instant deadline,
                                        const request_content &content)
{
    if (isGone(id))
        return reply(caller, id, unknownOutcome(outcome_reason::home_gone));
    if (isRefusing)
        return reply(caller, id, unknownOutcome(outcome_reason::draining));
    if (forwards.size() >= settings.maxForwarded)
        return reply(caller, id, unknownOutcome(outcome_reason::queue_full));
    pending_forward f;
    f.host = id.home;
    f.id = id;
    f.caller = caller;
    f.start = now;
    f.parentSpan = content.trace ? content.trace->span : 0;
    f.trace = content.trace ? childSpan(*content.trace, traceRandom) : startTrace(traceRandom);
    const std::uint64_t number = ++lastForwarding;
    f.due = timers.schedule(deadline + peers.at(id.home).roundTrip + settings.peerGrace,
                            timer_kind::forward_timeout, number);
    forward_request m;
    m.what = forward_request::purpose::decide;
    m.id = id;
    m.forwarding = number;
    m.senderEpoch = settings.epoch;
    m.receiverEpoch = id.epoch;
    m.timeLeftMs = millisecondsLeft(now, deadline);
    m.content = content;
    m.content.trace = f.trace;
    callers[caller] = {caller_place::kind::forward, number};
    forwards.emplace(number, std::move(f));
    actions.push_back(send_to_peer{id.home, std::move(m)});
}

std::optional<host_id> request_core::state::betterHost(const live_request &r,
                                                       const std::optional<duration> &localWait)
{
    if (localWait && *localWait == duration(0))
        return std::nullopt;
    struct candidate
    {
        const host_id *host;
        duration cost;
    };
    std::vector<candidate> candidates;
    for (const auto &[host, p] : peers) {
        const bool isHere = p.dataCentre == settings.dataCentre;
        if (!p.hasSeat || p.isDraining || (isHere && localWait))
            continue;
        for (const auto &[service, wait] : p.expectedWait) {
            if (service == r.content.service)
                candidates.push_back({&host, wait + p.roundTrip});
        }
    }
    if (candidates.empty())
        return std::nullopt;
    const auto best
        = std::min_element(candidates.begin(), candidates.end(),
                           [](const candidate &a, const candidate &b) { return a.cost < b.cost; });
    const duration least = best->cost;
    if ((localWait && *localWait <= least) || now + least >= r.deadline)
        return std::nullopt;
    candidates.erase(
        std::remove_if(candidates.begin(), candidates.end(),
                       [least](const candidate &c) { return c.cost > least + equalTime; }),
        candidates.end());
    return *candidates[routingRandom.below(candidates.size())].host;
}

bool request_core::state::order(live_request &r, const host_id &host)
{
    if (forwards.size() >= settings.maxForwarded)
        return false;
    endQueueing(r);
    const urgent_peer_listing &peer = peers.at(host);
    pending_forward f;
    f.host = host;
    f.id = r.id;
    f.request = r.key;
    f.start = now;
    f.parentSpan = r.trace.span;
    f.trace = childSpan(r.trace, traceRandom);
    const std::uint64_t number = ++lastForwarding;
    f.due = timers.schedule(r.deadline + peer.roundTrip + settings.peerGrace,
                            timer_kind::forward_timeout, number);
    forward_request m;
    m.what = forward_request::purpose::dispatch;
    m.id = r.id;
    m.forwarding = number;
    m.senderEpoch = settings.epoch;
    m.receiverEpoch = peer.epoch;
    m.timeLeftMs = millisecondsLeft(now, r.deadline);
    m.content = r.content;
    m.content.trace = f.trace;
    ++r.attempts;
    r.now = live_request::phase::ordered;
    r.forwarding = number;
    releasePayload(r);
    forwards.emplace(number, std::move(f));
    actions.push_back(send_to_peer{host, std::move(m)});
    return true;
}

void request_core::state::moveQueuedAway()
{
    if (share.isHeld(now))
        return;
    for (std::size_t service = 0; service < runners.serviceCount(); ++service) {
        for (request_key key : queue.keys(service)) {
            live_request &r = requests.at(key);
            if (r.isOrder) {
                settle(key, notRun(outcome_reason::no_capacity));
                continue;
            }
            const auto host
                = r.attempts == 0 ? betterHost(r, std::nullopt) : std::optional<host_id>();
            if (host)
                order(r, *host);
        }
    }
}

void request_core::state::handle(const urgent_message_received &e)
{
    std::visit([&](const auto &m) { receive(e.from, m); }, e.message);
}

void request_core::state::receive(const host_id &from, const forward_request &m)
{
    const waiting_peer sender{from, m.forwarding, m.senderEpoch};
    const instant deadline
        = std::min(deadlineFromTimeLeft(now, std::max<std::int64_t>(m.timeLeftMs, 0)),
                   now + settings.maxTimeLeft);
    if (m.what == forward_request::purpose::decide) {
        if (m.id.home != settings.host || m.id.epoch != settings.epoch)
            return reply(sender, m.id, unknownOutcome(outcome_reason::home_gone));
        return submit(sender, m.id, deadline, m.content);
    }
    if (m.id.home != from) {
        log(fmt::format("ignored a dispatch order for {} from {}", toString(m.id), from.value));
        return;
    }
    if (m.receiverEpoch != settings.epoch)
        return reply(sender, m.id, unknownOutcome(outcome_reason::peer_silent));
    switch (orders.admit(m.id, now)) {
    case order_record::admission::fresh:
        return accept(sender, m.id, true, deadline, m.content);
    case order_record::admission::known:
        // A duplicate; the answer to the first is sent once.
        return;
    case order_record::admission::full:
        // "Not run" would be untrue if a duplicate of the order were carried out later.
        return reply(sender, m.id, unknownOutcome(outcome_reason::peer_silent));
    }
}

void request_core::state::receive(const host_id &from, const forward_answer &m)
{
    if (m.senderEpoch != settings.epoch)
        return;
    const auto found = forwards.find(m.forwarding);
    if (found == forwards.end()) {
        // A late answer to a dispatch order; the ledger permits only "unknown" to become
        // "answered".
        if (m.result.kind == outcome_kind::answered && requests.find(keyOf(m.id)) == requests.end())
            ledger.settle(m.id, m.result);
        return;
    }
    const pending_forward &f = found->second;
    if (f.host != from || f.id != m.id)
        return;
    if (f.request != 0 && m.result.kind == outcome_kind::pending)
        return endForward(m.forwarding, unknownOutcome(outcome_reason::peer_silent));
    endForward(m.forwarding, m.result);
}

void request_core::state::endForward(std::uint64_t number, const request_outcome &result)
{
    const auto found = forwards.find(number);
    if (found == forwards.end())
        return;
    const pending_forward f = found->second;
    forwards.erase(found);
    timers.cancel(f.due);
    span("forward", f.trace, f.parentSpan, f.start,
         {{"host", f.host.value}, {"outcome", std::string(toString(result.kind))}});
    if (f.request != 0)
        return settle(f.request, result);
    if (!f.caller)
        return;
    callers.erase(*f.caller);
    reply(*f.caller, f.id, result);
}

void request_core::state::askHome(caller_token caller, const request_id &id)
{
    if (isGone(id))
        return reply(caller, id, unknownOutcome(outcome_reason::home_gone));
    if (questions.size() >= settings.maxForwarded)
        return reply(caller, id, unknownOutcome(outcome_reason::queue_full));
    const std::uint64_t number = ++lastForwarding;
    const timer due
        = timers.schedule(now + settings.questionTimeout, timer_kind::question_timeout, number);
    questions.emplace(number, pending_question{id.home, id, caller, due});
    callers[caller] = {caller_place::kind::query, number};
    actions.push_back(send_to_peer{id.home, ask_outcome{id, number, settings.epoch}});
}

void request_core::state::receive(const host_id &from, const ask_outcome &m)
{
    actions.push_back(
        send_to_peer{from, outcome{m.id, m.query, m.senderEpoch, ledger.outcomeOf(m.id)}});
}

void request_core::state::receive(const host_id &from, const outcome &m)
{
    const auto found = questions.find(m.query);
    if (m.senderEpoch != settings.epoch || found == questions.end() || found->second.host != from
        || found->second.id != m.id)
        return;
    endQuestion(m.query, m.result);
}

void request_core::state::endQuestion(std::uint64_t number, const request_outcome &result)
{
    const auto found = questions.find(number);
    if (found == questions.end())
        return;
    const pending_question q = found->second;
    questions.erase(found);
    timers.cancel(q.due);
    callers.erase(q.caller);
    reply(q.caller, q.id, result);
}

void request_core::state::handle(const urgent_peer_lost &e)
{
    peers.erase(e.host);
    std::vector<std::uint64_t> lost;
    for (const auto &[number, f] : forwards) {
        if (f.host == e.host)
            lost.push_back(number);
    }
    for (std::uint64_t number : lost)
        endForward(number, unknownOutcome(outcome_reason::peer_silent));
    lost.clear();
    for (const auto &[number, q] : questions) {
        if (q.host == e.host)
            lost.push_back(number);
    }
    for (std::uint64_t number : lost)
        endQuestion(number, unknownOutcome(outcome_reason::peer_silent));

    std::vector<std::pair<request_key, waiting_peer>> gone;
    for (const auto &[key, r] : requests) {
        for (const request_waiter &w : r.waiters) {
            const auto *peer = std::get_if<waiting_peer>(&w);
            if (peer && peer->host == e.host)
                gone.emplace_back(key, *peer);
        }
    }
    for (const auto &[key, peer] : gone) {
        const auto found = requests.find(key);
        if (found != requests.end())
            leave(found->second, peer);
    }
    pumpAll();
}

void request_core::state::handle(const urgent_peers_listed &e)
{
    std::map<host_id, urgent_peer_listing> listed;
    for (const urgent_peer_listing &p : e.peers) {
        if (p.host != settings.host)
            listed[p.host] = p;
    }
    std::vector<host_id> lost;
    for (const auto &[host, p] : peers) {
        const auto found = listed.find(host);
        if (found == listed.end() || found->second.epoch != p.epoch)
            lost.push_back(host);
    }
    for (const host_id &host : lost)
        handle(urgent_peer_lost{host});
    peers = std::move(listed);
    moveQueuedAway();
}

} // namespace crocuswind
