#include "request_core_state.h"

#include <algorithm>
#include <fmt/format.h>

namespace crocuswind {

namespace {

/// Hosts whose expected times exceed the lowest one by no more than this are considered equal, and
/// one of them is drawn at random. Otherwise all hosts would forward to the same host until its
/// next report.
constexpr duration equalCostMargin = 2ms;

} // namespace

bool request_core::state::isHomeGone(const request_id &id) const
{
    // If membership reports a lower incarnation than the identifier's, membership lags and the home
    // is not gone.
    const auto found = peers.find(id.home);
    return found == peers.end() || found->second.epoch > id.epoch;
}

void request_core::state::forwardToHome(caller_token caller, const request_id &id, instant deadline,
                                        const request_content &content)
{
    if (isHomeGone(id))
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
    callers[caller] = {pending_operation::kind::forward, number};
    forwards.emplace(number, std::move(f));
    actions.push_back(send_to_peer{id.home, std::move(m)});
}

std::optional<host_id> request_core::state::fasterHost(const live_request &r,
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
        const bool isSameDataCentre = p.dataCentre == settings.dataCentre;
        if (!p.hasSeat || p.isDraining || (isSameDataCentre && localWait))
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
    const duration lowestCost = best->cost;
    if ((localWait && *localWait <= lowestCost) || now + lowestCost >= r.deadline)
        return std::nullopt;
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(),
                                    [lowestCost](const candidate &c) {
                                        return c.cost > lowestCost + equalCostMargin;
                                    }),
                     candidates.end());
    return *candidates[routingRandom.below(candidates.size())].host;
}

bool request_core::state::delegate(live_request &r, const host_id &host)
{
    if (forwards.size() >= settings.maxForwarded)
        return false;
    dequeue(r);
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
    r.currentPhase = live_request::phase::delegated;
    r.forwarding = number;
    releasePayload(r);
    forwards.emplace(number, std::move(f));
    actions.push_back(send_to_peer{host, std::move(m)});
    return true;
}

void request_core::state::reassignQueued()
{
    if (share.isHeld(now))
        return;
    for (std::size_t service = 0; service < runners.serviceCount(); ++service) {
        for (request_key key : queue.keys(service)) {
            live_request &r = requests.at(key);
            if (r.isDispatchCommand) {
                complete(key, notRun(outcome_reason::no_capacity));
                continue;
            }
            const auto host
                = r.attempts == 0 ? fasterHost(r, std::nullopt) : std::optional<host_id>();
            if (host)
                delegate(r, *host);
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
        log(fmt::format("ignored a dispatch command for {} from {}, which is not its home",
                        toString(m.id), from.value));
        return;
    }
    if (m.receiverEpoch != settings.epoch)
        return reply(sender, m.id, unknownOutcome(outcome_reason::peer_silent));
    switch (dispatchCommands.admit(m.id, now)) {
    case dispatch_command_record::admission::fresh:
        return accept(sender, m.id, true, deadline, m.content);
    case dispatch_command_record::admission::known:
        // A duplicate. Only the first copy of the command is answered.
        return;
    case dispatch_command_record::admission::full:
        // `not_run` would be wrong if a duplicate of the command were executed later.
        return reply(sender, m.id, unknownOutcome(outcome_reason::peer_silent));
    }
}

void request_core::state::receive(const host_id &from, const forward_answer &m)
{
    if (m.senderEpoch != settings.epoch)
        return;
    const auto found = forwards.find(m.forwarding);
    if (found == forwards.end()) {
        // A late answer to a dispatch command. The ledger accepts it only if the recorded outcome
        // is `unknown`.
        if (m.result.kind == outcome_kind::answered && requests.find(keyOf(m.id)) == requests.end())
            ledger.recordOutcome(m.id, m.result);
        return;
    }
    const pending_forward &f = found->second;
    if (f.host != from || f.id != m.id)
        return;
    if (f.request != 0 && m.result.kind == outcome_kind::pending)
        return completeForward(m.forwarding, unknownOutcome(outcome_reason::peer_silent));
    completeForward(m.forwarding, m.result);
}

void request_core::state::completeForward(std::uint64_t number, const request_outcome &result)
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
        return complete(f.request, result);
    if (!f.caller)
        return;
    callers.erase(*f.caller);
    reply(*f.caller, f.id, result);
}

void request_core::state::queryHome(caller_token caller, const request_id &id)
{
    if (isHomeGone(id))
        return reply(caller, id, unknownOutcome(outcome_reason::home_gone));
    if (queries.size() >= settings.maxForwarded)
        return reply(caller, id, unknownOutcome(outcome_reason::queue_full));
    const std::uint64_t number = ++lastForwarding;
    const timer due
        = timers.schedule(now + settings.queryTimeout, timer_kind::query_timeout, number);
    queries.emplace(number, pending_query{id.home, id, caller, due});
    callers[caller] = {pending_operation::kind::query, number};
    actions.push_back(send_to_peer{id.home, ask_outcome{id, number, settings.epoch}});
}

void request_core::state::receive(const host_id &from, const ask_outcome &m)
{
    actions.push_back(
        send_to_peer{from, outcome{m.id, m.query, m.senderEpoch, ledger.outcomeOf(m.id)}});
}

void request_core::state::receive(const host_id &from, const outcome &m)
{
    const auto found = queries.find(m.query);
    if (m.senderEpoch != settings.epoch || found == queries.end() || found->second.host != from
        || found->second.id != m.id)
        return;
    completeQuery(m.query, m.result);
}

void request_core::state::completeQuery(std::uint64_t number, const request_outcome &result)
{
    const auto found = queries.find(number);
    if (found == queries.end())
        return;
    const pending_query q = found->second;
    queries.erase(found);
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
        completeForward(number, unknownOutcome(outcome_reason::peer_silent));
    lost.clear();
    for (const auto &[number, q] : queries) {
        if (q.host == e.host)
            lost.push_back(number);
    }
    for (std::uint64_t number : lost)
        completeQuery(number, unknownOutcome(outcome_reason::peer_silent));

    std::vector<std::pair<request_key, waiting_peer>> lostWaiters;
    for (const auto &[key, r] : requests) {
        for (const request_waiter &w : r.waiters) {
            const auto *peer = std::get_if<waiting_peer>(&w);
            if (peer && peer->host == e.host)
                lostWaiters.emplace_back(key, *peer);
        }
    }
    for (const auto &[key, peer] : lostWaiters) {
        const auto found = requests.find(key);
        if (found != requests.end())
            removeWaiter(found->second, peer);
    }
    dispatchAllQueued();
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
    reassignQueued();
}

} // namespace crocuswind
