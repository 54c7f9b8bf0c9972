// The implementation of the fleet declared in urgent_fleet.h.
#ifndef CROCUSWIND_TEST_URGENT_FLEET_IMPL_H
#define CROCUSWIND_TEST_URGENT_FLEET_IMPL_H

#include "urgent_fleet.h"

#include <algorithm>
#include <fmt/format.h>

namespace crocuswind {

constexpr duration leaseTime = 3s;

inline fleet::fleet(const fleet_settings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
{
    const data_centre_id local{"dakar"};
    const data_centre_id remote{"thies"};
    for (int i = 0; i < 4; ++i) {
        host_process h;
        h.name = host_id{fmt::format("entry-{}", i)};
        h.dataCentre = i == 2 ? remote : local; // Host 3 starts without a seat.
        m_hosts.push_back(std::move(h));
    }
    m_seats
        = {{local, 2, 0, -1, {}, true}, {local, 2, 1, -1, {}, true}, {remote, 1, 0, -1, {}, true}};
    for (int i = 0; i < 4; ++i) {
        runner_model r;
        r.name = runner_id{fmt::format("runner-{}", i)};
        r.dataCentre = i == 3 ? remote : local;
        m_runners.push_back(r);
    }
}

inline void fleet::fail(const std::string &text)
{
    if (m_violations.size() < 5)
        m_violations.push_back(fmt::format("at {} us: {}", m_now.time_since_epoch().count(), text));
}

inline void fleet::at(instant when, std::function<void()> what)
{
    m_queue.emplace(when, std::move(what));
}

inline std::vector<std::string> fleet::run()
{
    for (int i = 0; i < int(m_hosts.size()); ++i)
        start(i);
    for (const fleet_fault &f : m_settings.faults)
        at(instant(f.at), [this, f] { inject(f); });
    for (int i = 0; i < m_settings.requests; ++i) {
        const auto when = m_random.below(std::uint64_t(m_settings.arrivals.count()));
        at(instant(duration(1s) + duration(std::int64_t(when))), [this, i] { submit(i); });
    }
    for (instant t; t < instant(m_settings.end); t += duration(500ms))
        at(t, [this] {
            renewSeats();
            poll();
        });
    while (!m_queue.empty() && m_violations.empty()) {
        m_now = m_queue.begin()->first;
        if (m_now > instant(m_settings.end))
            break;
        const auto what = std::move(m_queue.begin()->second);
        m_queue.erase(m_queue.begin());
        what();
    }
    return m_violations;
}

inline void fleet::start(int host)
{
    host_process &h = m_hosts[std::size_t(host)];
    if (h.isUp)
        return;
    h.isUp = true;
    h.isDraining = false;
    h.epoch = ++m_lastEpoch;
    h.seat = -1;
    h.wakeAt = instant::max();
    h.pausedUntil = instant();
    urgent_settings s;
    s.host = h.name;
    s.epoch = h.epoch;
    s.dataCentre = h.dataCentre;
    s.seed = m_random.next();
    h.core = std::make_unique<request_core>(s);
    deliver(
        host,
        {m_now,
         urgent_quotas_applied{{{team_id{"lab"}, 1}, {team_id{"yard"}, 3}}, {{m_service, 200ms}}}});
    poll();
}

inline void fleet::stop(int host)
{
    host_process &h = m_hosts[std::size_t(host)];
    h.isUp = false;
    h.core.reset();
    h.callers.clear();
    // A dead process keeps its lease until the lease expires. The other hosts detect the death
    // after 800 ms.
    for (int other = 0; other < int(m_hosts.size()); ++other) {
        if (other != host)
            at(m_now + duration(800ms), [this, other, name = h.name] {
                deliver(other, {m_now, urgent_peer_lost{name}});
            });
    }
}

inline void fleet::renewSeats()
{
    for (std::size_t i = 0; i < m_seats.size(); ++i) {
        seat_state &s = m_seats[i];
        if (s.holder >= 0) {
            host_process &h = m_hosts[std::size_t(s.holder)];
            if (h.isUp && h.seat == int(i) && m_now >= h.pausedUntil && m_now < s.leaseEnd) {
                s.leaseEnd = m_now + leaseTime;
                deliver(s.holder,
                        {m_now, urgent_seat_granted{s.index, s.seats, s.leaseEnd, s.wasReleased}});
                continue;
            }
            if (m_now < s.leaseEnd)
                continue;
            if (h.seat == int(i))
                h.seat = -1;
            s.holder = -1;
            s.wasReleased = false;
        }
        for (int k = 0; k < int(m_hosts.size()); ++k) {
            host_process &h = m_hosts[std::size_t(k)];
            if (!h.isUp || h.isDraining || h.seat >= 0 || h.dataCentre != s.dataCentre
                || m_now < h.pausedUntil)
                continue;
            s.holder = k;
            h.seat = int(i);
            s.leaseEnd = m_now + leaseTime;
            deliver(k, {m_now, urgent_seat_granted{s.index, s.seats, s.leaseEnd, s.wasReleased}});
            break;
        }
    }
}

inline void fleet::poll()
{
    for (int i = 0; i < int(m_hosts.size()); ++i) {
        host_process &h = m_hosts[std::size_t(i)];
        if (!h.isUp)
            continue;
        urgent_peers_listed peers;
        for (const host_process &p : m_hosts) {
            if (p.isUp && p.name != h.name && m_now >= p.cutUntil && m_now >= h.cutUntil)
                peers.peers.push_back({p.name, p.epoch, p.dataCentre, p.seat >= 0, p.isDraining,
                                       8ms, p.core->expectedWaits()});
        }
        runners_listed listed;
        for (const runner_model &r : m_runners) {
            // The host list lags: it shows a leaving runner as live for 1.5 s.
            if (r.dataCentre == h.dataCentre)
                listed.runners.push_back(
                    {r.name, m_service, r.slots, 16,
                     r.isLeaving && m_now >= r.leavingSince + duration(1500ms)});
        }
        deliver(i, {m_now, peers});
        deliver(i, {m_now, listed});
    }
}

inline void fleet::deliver(int host, urgent_event event)
{
    host_process &h = m_hosts[std::size_t(host)];
    if (!h.isUp)
        return;
    if (m_now < h.pausedUntil) {
        const incarnation epoch = h.epoch;
        at(h.pausedUntil, [this, host, epoch, event]() mutable {
            if (m_hosts[std::size_t(host)].epoch == epoch)
                deliver(host, {m_now, std::move(event.what)});
        });
        return;
    }
    event.now = m_now;
    if (const auto *r = std::get_if<request_submitted>(&event.what))
        h.callers.insert(r->caller);
    if (const auto *q = std::get_if<outcome_asked>(&event.what))
        h.callers.insert(q->caller);
    const auto actions = h.core->handle(event);
    for (const std::string &v : h.core->violations())
        fail(h.name.value + ": " + v);
    apply(host, actions);
}

inline void fleet::apply(int host, const std::vector<urgent_action> &actions)
{
    for (const urgent_action &a : actions) {
        std::visit([this, host](const auto &one) { apply(host, one); }, a);
        if (!m_hosts[std::size_t(host)].isUp)
            return;
    }
}

inline void fleet::apply(int host, const urgent_wake_at &a)
{
    host_process &h = m_hosts[std::size_t(host)];
    h.wakeAt = a.when;
    at(std::max(a.when, m_now), [this, host, epoch = h.epoch, when = a.when] {
        host_process &p = m_hosts[std::size_t(host)];
        if (p.isUp && p.epoch == epoch && p.wakeAt == when)
            deliver(host, {m_now, urgent_tick{}});
    });
}

inline void fleet::apply(int host, const urgent_drained &)
{
    host_process &h = m_hosts[std::size_t(host)];
    if (!h.callers.empty())
        fail(fmt::format("I8: {} completed its drain while {} callers wait", h.name.value,
                         h.callers.size()));
    for (seat_state &s : m_seats) {
        if (s.holder == host && h.seat >= 0) {
            s.holder = -1;
            s.wasReleased = true;
        }
    }
    h.seat = -1;
    stop(host);
}

inline void fleet::apply(int host, const send_to_peer &a)
{
    const host_process &from = m_hosts[std::size_t(host)];
    for (int i = 0; i < int(m_hosts.size()); ++i) {
        const host_process &to = m_hosts[std::size_t(i)];
        if (to.name != a.to || !to.isUp || m_now < to.cutUntil || m_now < from.cutUntil)
            continue;
        const int copies = (chance(m_settings.lossPercent) ? 0 : 1)
            + (chance(m_settings.duplicatePercent) ? 1 : 0);
        for (int c = 0; c < copies; ++c) {
            // A duplicate may arrive long after the first copy, even after the receiver restarted.
            const duration d = c == 0 ? delay() : delay() * 400;
            at(m_now + d, [this, i, name = from.name, m = a.message] {
                deliver(i, {m_now, urgent_message_received{name, m}});
            });
        }
    }
}

inline void fleet::sendRequest(int host, const std::optional<request_id> &id,
                               const request_content &content)
{
    host_process &h = m_hosts[std::size_t(host)];
    if (!h.isUp)
        return;
    if (id)
        m_isRepeatable[toString(*id)] = content.isRepeatable;
    const caller_token caller = ++m_lastCaller;
    deliver(host, {m_now, request_submitted{caller, id, m_now + duration(3s), content}});
}

inline void fleet::submit(int number)
{
    request_content content;
    content.service = m_service;
    content.team = team_id{number % 2 == 0 ? "lab" : "yard"};
    content.isRepeatable = number % 3 == 0;
    content.level = number % 5 == 0 ? urgency::normal : urgency::urgent;
    content.payload = std::string(20, 'p');
    const int host = int(m_random.below(m_hosts.size()));
    if (!m_hosts[std::size_t(host)].isUp)
        return;
    if (content.isRepeatable && chance(50))
        return sendRequest(host, std::nullopt, content);
    const caller_token caller = ++m_lastCaller;
    m_contents[caller] = content;
    deliver(host, {m_now, identifier_asked{caller}});
}

inline void fleet::apply(int, const reply_identifier &a)
{
    const request_content content = m_contents[a.caller];
    // The caller sends the request three times and queries its outcome three times, each time
    // through a random host.
    for (int i = 0; i < 3; ++i) {
        const int host = int(m_random.below(m_hosts.size()));
        at(m_now + duration(std::int64_t(i) * std::int64_t(m_random.below(4'000'000))),
           [this, host, id = a.id, content] { sendRequest(host, id, content); });
        at(m_now + duration(std::int64_t(m_random.below(6'000'000))), [this, host, id = a.id] {
            host_process &h = m_hosts[std::size_t(host)];
            if (!h.isUp)
                return;
            const caller_token caller = ++m_lastCaller;
            deliver(host, {m_now, outcome_asked{caller, id}});
        });
    }
}

inline void fleet::apply(int host, const reply_outcome &a)
{
    host_process &h = m_hosts[std::size_t(host)];
    h.callers.erase(a.caller);
    if (!a.id)
        return;
    const std::string id = toString(*a.id);
    if (a.result.kind == outcome_kind::answered) {
        ++m_answered;
        if (a.result.answer != answerFor(*a.id))
            fail(fmt::format("I4: {} received the answer '{}'", id, a.result.answer));
        if (m_reportedNotRun.count(id) != 0)
            fail(fmt::format("I5: {} was reported as not_run and then as answered", id));
    }
    if (a.result.kind == outcome_kind::not_run) {
        m_reportedNotRun.insert(id);
        if (m_runs[id] > 0)
            fail(fmt::format("I5: {} was executed and is reported as not_run ({})", id,
                             toString(a.result.reason)));
    }
}

inline void fleet::execute(runner_model &r, const request_id &id)
{
    const std::string text = toString(id);
    ++m_executions;
    const int runs = ++m_runs[text];
    if (m_reportedNotRun.count(text) != 0)
        fail(fmt::format("I5: {} was reported as not_run and is executed", text));
    // Requests that were submitted without an identifier are repeatable.
    const auto repeatable = m_isRepeatable.find(text);
    if (runs > 1 && repeatable != m_isRepeatable.end() && !repeatable->second)
        fail(fmt::format("I6: unrepeatable request {} was executed {} times", text, runs));
    if (++r.running > r.slots)
        fail(fmt::format("{} is running {} requests but has {} slots", r.name.value, r.running,
                         r.slots));
}

inline void fleet::finish(int host, incarnation epoch, runner_result result, duration d)
{
    at(m_now + d, [this, host, epoch, result] {
        host_process &h = m_hosts[std::size_t(host)];
        if (h.epoch != epoch)
            return;
        deliver(host, {m_now, result});
    });
    if (chance(m_settings.duplicatePercent))
        at(m_now + d + delay(), [this, host, epoch, result] {
            if (m_hosts[std::size_t(host)].epoch == epoch)
                deliver(host, {m_now, result});
        });
}

inline void fleet::apply(int host, const dispatch_to_runner &a)
{
    host_process &h = m_hosts[std::size_t(host)];
    const auto found = std::find_if(m_runners.begin(), m_runners.end(),
                                    [&](const runner_model &r) { return r.name == a.runner; });
    runner_model &r = *found;
    if (h.seat < 0 || m_now >= m_seats[std::size_t(h.seat)].leaseEnd
        || m_seats[std::size_t(h.seat)].holder != host)
        fail(fmt::format("{} dispatched a request without a valid seat", h.name.value));
    if (r.isLeaving && m_now > r.leavingSince + duration(3s))
        fail(fmt::format("I7: {} received a request {} us after it began to leave", r.name.value,
                         (m_now - r.leavingSince).count()));
    runner_result result;
    result.attempt = a.attempt;
    result.isLeaving = r.isLeaving;
    const duration requestDelay = delay();
    const instant arrival = m_now + requestDelay;
    const instant dropTime = arrival + (a.deadline - m_now);
    const auto mode = r.currentMode;
    using kind = runner_result::kind;
    if (mode == runner_model::mode::down) {
        result.what = kind::not_connected;
        return finish(host, h.epoch, result, requestDelay);
    }
    if (mode == runner_model::mode::refuses) {
        result.what = kind::refused_before_start;
        return finish(host, h.epoch, result, requestDelay + delay());
    }
    const std::size_t index = std::size_t(found - m_runners.begin());
    at(arrival, [this, index, id = a.id] { execute(m_runners[index], id); });
    duration took{std::int64_t(20'000 + m_random.below(400'000))};
    if (chance(8))
        took = duration(std::int64_t(1'000'000 + m_random.below(6'000'000)));
    if (mode == runner_model::mode::hangs)
        took = 60s;
    if (mode == runner_model::mode::fails)
        took = 1ms;
    // The runner drops a request whose time left has run out and sends no answer.
    const bool isDropped = arrival + took >= dropTime;
    const instant end = isDropped ? dropTime : arrival + took;
    at(end, [this, index] { --m_runners[index].running; });
    result.what = mode == runner_model::mode::fails ? kind::failed : kind::answered;
    result.echoedId = a.id;
    result.answer = answerFor(a.id);
    if (isDropped || chance(m_settings.lossPercent)) {
        result.what = kind::no_answer;
        result.answer = "answer to"; // A truncated answer must not reach the caller.
    } else if (chance(2)) {
        result.echoedId->sequence += 1; // Simulates the answer to another request.
        result.answer = answerFor(*result.echoedId);
    }
    finish(host, h.epoch, result, end - m_now + delay());
}

inline void fleet::apply(int host, const cancel_attempt &a)
{
    host_process &h = m_hosts[std::size_t(host)];
    // Closing the connection does not stop the runner. In 30% of the cases no
    // cancellation is reported, as if the runner's own result were already in transit.
    if (chance(70))
        finish(host, h.epoch, {a.attempt, runner_result::kind::no_answer, {}, {}, false}, 100us);
}

inline void fleet::inject(const fleet_fault &f)
{
    using kind = fleet_fault::kind;
    const int host = int(f.target % m_hosts.size());
    host_process &h = m_hosts[std::size_t(host)];
    runner_model &r = m_runners[f.target % m_runners.size()];
    switch (f.what) {
    case kind::kill_host:
        if (h.isUp)
            stop(host);
        break;
    case kind::restart_host:
        start(host);
        break;
    case kind::pause_host:
        h.pausedUntil = std::max(h.pausedUntil, m_now + duration(4s));
        break;
    case kind::drain_host:
        if (h.isUp) {
            h.isDraining = true;
            deliver(host, {m_now, urgent_drain{}});
        }
        break;
    case kind::cut_links:
        h.cutUntil = m_now + duration(2s);
        for (int i = 0; i < int(m_hosts.size()); ++i) {
            if (i == host)
                continue;
            deliver(i, {m_now, urgent_peer_lost{h.name}});
            deliver(host, {m_now, urgent_peer_lost{m_hosts[std::size_t(i)].name}});
        }
        break;
    case kind::runner_leaves:
        if (!r.isLeaving)
            r.leavingSince = m_now;
        r.isLeaving = true;
        break;
    case kind::runner_fails:
        r.currentMode = runner_model::mode::fails;
        break;
    case kind::runner_refuses:
        r.currentMode = runner_model::mode::refuses;
        break;
    case kind::runner_hangs:
        r.currentMode = runner_model::mode::hangs;
        break;
    case kind::runner_down:
        r.currentMode = runner_model::mode::down;
        break;
    case kind::runner_recovers:
        r.currentMode = runner_model::mode::healthy;
        break;
    case kind::caller_leaves:
        if (!h.callers.empty()) {
            const caller_token caller = *h.callers.begin();
            h.callers.erase(caller);
            deliver(host, {m_now, request_caller_gone{caller}});
        }
        break;
    }
}

} // namespace crocuswind

#endif
