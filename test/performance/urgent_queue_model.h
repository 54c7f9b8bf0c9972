// A queueing model in virtual time with entry hosts, runners with given service times, report lag
// and failures, and seeded arrivals. Used to compare routing policies and to measure overload and
// brown-outs.
#ifndef CROCUSWIND_TEST_URGENT_QUEUE_MODEL_H
#define CROCUSWIND_TEST_URGENT_QUEUE_MODEL_H

#include "urgent/routing_policy.h"
#include "urgent/urgent.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <fmt/format.h>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace crocuswind {

/// One arriving request and, after a run, its result.
struct model_arrival
{
    instant when;
    int host = 0;
    int team = 0;
    urgency level = urgency::urgent;
    double work = 0; ///< Service time in microseconds on a runner at full speed.
    duration timeLeft{60s};
    bool isRepeatable = true;

    // Results of a run.
    instant started{instant::max()};
    instant ended{instant::max()};
    bool isAnswered = false;
    int attempts = 0;
};

struct model_settings
{
    std::uint64_t seed = 1;
    int hosts = 7;
    int runners = 50;
    int slots = 8;
    int teams = 25;
    double meanWork = 50'000; ///< In microseconds.
    double spread = 0.5; ///< Standard deviation of the logarithm of the work.
    bool hasInterference = true; ///< Runners are slowed by a factor that is redrawn every 10 s.
    duration network{500us}; ///< One-way network latency.
    duration reportLag{1s};
    duration end{60s};
    /// Returns the factor applied to all service times at an instant; used for brown-outs.
    std::function<double(instant)> slowdown = [](instant) { return 1.0; };
    /// Returns true if the runner fails requests immediately at this instant.
    std::function<bool(int runner, instant)> failsImmediately = [](int, instant) { return false; };
};

/// Returns the slowdown of one runner by interference: a factor of 2.5 in 1 of 10 periods of 10 s,
/// 1.5 in 2 of 10, and 1 otherwise.
inline double interference(const model_settings &s, int runner, instant now)
{
    if (!s.hasInterference)
        return 1;
    const auto period = now.time_since_epoch().count() / 10'000'000;
    const auto draw = stableHash(fmt::format("{}/{}", runner, period), s.seed) % 10;
    return draw == 0 ? 2.5 : draw < 3 ? 1.5 : 1;
}

/// Returns the number of requests a second that all slots together can serve.
inline double capacityOf(const model_settings &s)
{
    const double ratePerSlot = s.hasInterference ? 0.7 + 0.2 / 1.5 + 0.1 / 2.5 : 1;
    return s.runners * s.slots * ratePerSlot * 1e6 / s.meanWork;
}

/// Draws Poisson arrivals at \p rate a second from \p from to \p to.
template <class function>
void addArrivals(std::vector<model_arrival> *all, const model_settings &s, random_source &random,
                 double rate, instant from, instant to, function fill)
{
    const auto normal = [&random] { // The Box-Muller transform.
        return std::sqrt(-2 * std::log(1 - random.fraction()))
            * std::cos(2 * 3.14159265358979 * random.fraction());
    };
    instant t = from;
    for (;;) {
        t += duration(std::int64_t(-std::log(1 - random.fraction()) / rate * 1e6));
        if (t >= to)
            break;
        model_arrival a;
        a.when = t;
        a.host = int(random.below(std::uint64_t(s.hosts)));
        a.work = s.meanWork * std::exp(s.spread * normal() - s.spread * s.spread / 2);
        fill(a);
        all->push_back(a);
    }
}

inline void sortArrivals(std::vector<model_arrival> *all)
{
    std::stable_sort(all->begin(), all->end(), [](const model_arrival &a, const model_arrival &b) {
        return a.when < b.when;
    });
}

/// Runs events in virtual time. Events of the same instant run in the order of scheduling.
class model_clock
{
public:
    void at(instant when, std::function<void()> what)
    {
        m_events.push({when, ++m_order, std::move(what)});
    }
    bool runNext(instant before)
    {
        if (m_events.empty() || m_events.top().when >= before)
            return false;
        const auto what = std::move(const_cast<event &>(m_events.top()).what);
        now = m_events.top().when;
        m_events.pop();
        what();
        return true;
    }
    instant now;

private:
    struct event
    {
        instant when;
        std::uint64_t order;
        std::function<void()> what;
        bool operator<(const event &other) const
        {
            return std::tie(other.when, other.order) < std::tie(when, order);
        }
    };
    std::priority_queue<event> m_events;
    std::uint64_t m_order = 0;
};

/// Runs the baseline without admission control: a host sends each request immediately, and requests
/// queue at the runner.
inline void runDirect(const model_settings &s, routing_kind kind, std::vector<model_arrival> *all)
{
    struct runner_queue
    {
        int running = 0;
        std::deque<std::size_t> waiting;
    };
    model_clock clock;
    std::vector<runner_queue> runners{std::size_t(s.runners)};
    std::vector<std::unique_ptr<routing_policy>> policies;
    std::vector<seeded_random> randoms;
    for (int h = 0; h < s.hosts; ++h) {
        policies.push_back(makeRoutingPolicy(kind, std::uint64_t(h)));
        randoms.emplace_back(s.seed + std::uint64_t(h));
        for (int r = 0; r < s.runners; ++r)
            policies.back()->update(std::size_t(r), {true, 0, 0, 0, 0});
    }
    std::function<void(std::size_t)> startNext = [&](std::size_t r) {
        runner_queue &q = runners[r];
        while (q.running < s.slots && !q.waiting.empty()) {
            const std::size_t i = q.waiting.front();
            q.waiting.pop_front();
            ++q.running;
            model_arrival &a = (*all)[i];
            a.started = clock.now;
            const double took = a.work * interference(s, int(r), clock.now) * s.slowdown(clock.now);
            clock.at(clock.now + duration(std::int64_t(took)), [&, r, i] {
                --runners[r].running;
                (*all)[i].ended = clock.now + s.network;
                (*all)[i].isAnswered = true;
                startNext(r);
            });
        }
    };
    // Loads are measured every 100 ms and reach the hosts after the report lag.
    for (instant t; t < instant(s.end); t += duration(100ms)) {
        clock.at(t, [&] {
            std::vector<double> loads;
            for (const runner_queue &q : runners)
                loads.push_back(double(q.running) + double(q.waiting.size()));
            clock.at(clock.now + s.reportLag, [&, loads] {
                for (auto &p : policies) {
                    for (std::size_t r = 0; r < loads.size(); ++r)
                        p->update(r, {true, 0, loads[r], 0, 0});
                }
            });
        });
    }
    for (std::size_t i = 0; i < all->size(); ++i) {
        clock.at((*all)[i].when, [&, i] {
            const auto h = std::size_t((*all)[i].host);
            const std::size_t r = *policies[h]->choose(randoms[h], std::nullopt, false);
            clock.at(clock.now + s.network, [&, r, i] {
                runners[r].waiting.push_back(i);
                startNext(r);
            });
        });
    }
    while (clock.runNext(instant(s.end) + duration(60s))) { }
}

/// Counts of a run of the request cores, besides the results of the requests.
struct model_counts
{
    std::uint64_t firstAttempts = 0;
    std::uint64_t retries = 0;
    std::vector<std::vector<std::uint64_t>> dispatches; ///< By second and runner.
    std::size_t maxQueueLength = 0;
};

/// Runs the complete request path: one request core for each host, each with its seat's share of
/// the slots.
inline model_counts runCores(const model_settings &s, routing_kind kind,
                             std::vector<model_arrival> *all)
{
    model_clock clock;
    model_counts counts;
    std::vector<request_core> cores;
    std::vector<instant> wakes(std::size_t(s.hosts), instant::max());
    std::vector<int> load(std::size_t(s.runners), 0);
    const service_id service{"drift"};
    std::function<void(std::size_t, const urgent_event &)> deliver;
    const auto apply = [&](std::size_t h, const urgent_action &action) {
        if (const auto *reply = std::get_if<reply_outcome>(&action)) {
            model_arrival &a = (*all)[reply->caller - 1];
            a.ended = clock.now;
            a.isAnswered = reply->result.kind == outcome_kind::answered;
        } else if (const auto *wake = std::get_if<urgent_wake_at>(&action)) {
            wakes[h] = wake->when;
            clock.at(std::max(wake->when, clock.now), [&, h, when = wake->when] {
                if (wakes[h] == when)
                    deliver(h, {clock.now, urgent_tick{}});
            });
        } else if (const auto *d = std::get_if<dispatch_to_runner>(&action)) {
            const int r = std::stoi(d->runner.value.substr(7));
            model_arrival &a = (*all)[std::stoul(d->payload)];
            ++a.attempts;
            a.started = std::min(a.started, clock.now);
            const auto second = std::size_t(clock.now.time_since_epoch().count() / 1'000'000);
            if (counts.dispatches.size() <= second)
                counts.dispatches.resize(second + 1,
                                         std::vector<std::uint64_t>(std::size_t(s.runners)));
            ++counts.dispatches[second][std::size_t(r)];
            ++load[std::size_t(r)];
            const bool fails = s.failsImmediately(r, clock.now);
            const double took
                = fails ? 1000 : a.work * interference(s, r, clock.now) * s.slowdown(clock.now);
            const instant arrival = clock.now + s.network;
            const instant dropTime = arrival + (d->deadline - clock.now);
            const instant end = std::min(arrival + duration(std::int64_t(took)), dropTime);
            runner_result result{d->attempt, runner_result::kind::answered, "a", d->id, false};
            if (fails)
                result.what = runner_result::kind::failed;
            else if (end == dropTime)
                result.what = runner_result::kind::no_answer;
            clock.at(end, [&, h, r, result] {
                --load[std::size_t(r)];
                clock.at(clock.now + s.network, [&, h, result] {
                    deliver(h, {clock.now, result});
                });
            });
        }
    };
    deliver = [&](std::size_t h, const urgent_event &event) {
        for (const urgent_action &action : cores[h].handle(event))
            apply(h, action);
    };
    urgent_quotas_applied quotas;
    for (int t = 0; t < s.teams; ++t)
        quotas.teams.push_back({team_id{fmt::format("team-{}", t)}, 1});
    quotas.services.push_back({service, duration(std::int64_t(s.meanWork))});
    runners_listed listed;
    for (int r = 0; r < s.runners; ++r)
        listed.runners.push_back(
            {runner_id{fmt::format("runner-{}", r)}, service, s.slots, 64, false});
    for (int h = 0; h < s.hosts; ++h) {
        urgent_settings settings;
        settings.host = host_id{fmt::format("entry-{}", h)};
        settings.epoch = 1;
        settings.seed = s.seed + std::uint64_t(h);
        settings.routing = kind;
        cores.emplace_back(settings);
    }
    for (std::size_t h = 0; h < cores.size(); ++h) {
        deliver(h, {instant(), quotas});
        deliver(h, {instant(), listed});
        deliver(h, {instant(), urgent_seat_granted{int(h), s.hosts, instant::max(), true}});
    }
    for (instant t; t < instant(s.end); t += duration(100ms)) {
        clock.at(t, [&, t] {
            runner_loads_reported loads;
            for (std::size_t r = 0; r < load.size(); ++r)
                loads.loads.emplace_back(listed.runners[r].runner, load[r]);
            clock.at(clock.now + s.reportLag, [&, loads] {
                for (std::size_t h = 0; h < cores.size(); ++h)
                    deliver(h, {clock.now, loads});
            });
            for (std::size_t h = 0; h < cores.size(); ++h) {
                counts.maxQueueLength = std::max(counts.maxQueueLength, cores[h].counts().queued);
                if (t.time_since_epoch().count() % 1'000'000 == 0)
                    deliver(h, {clock.now, listed});
            }
        });
    }
    // Each arrival schedules the next one, so that an overload does not fill the event queue.
    std::function<void(std::size_t)> arrive = [&](std::size_t i) {
        const model_arrival &a = (*all)[i];
        if (i + 1 < all->size())
            clock.at((*all)[i + 1].when, [&, i] { arrive(i + 1); });
        request_content c;
        c.service = service;
        c.team = quotas.teams[std::size_t(a.team)].team;
        c.isRepeatable = a.isRepeatable;
        c.level = a.level;
        c.payload = std::to_string(i);
        deliver(std::size_t(a.host),
                {clock.now, request_submitted{i + 1, std::nullopt, clock.now + a.timeLeft, c}});
    };
    if (!all->empty())
        clock.at(all->front().when, [&] { arrive(0); });
    while (clock.runNext(instant(s.end) + duration(60s))) { }
    for (const request_core &core : cores) {
        counts.firstAttempts += core.counts().firstAttempts;
        counts.retries += core.counts().retries;
    }
    return counts;
}

/// Returns the \p q quantile of \p values, or 0 if there are none. Sorts \p values.
inline double quantile(std::vector<double> &values, double q)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, std::size_t(q * double(values.size())))];
}

} // namespace crocuswind

#endif
