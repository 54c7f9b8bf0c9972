// Compares the routing policies on the same seeded arrivals and measures failing runners,
// brown-outs and overload in virtual time. Prints the measurements; docs/urgent.md gives the
// targets. Usage: urgent_experiment_benchmark [SEED [EXPERIMENT]], experiments: routing, error,
// brownout, normal, team, memory.

#include "urgent_queue_model.h"

#include <fmt/format.h>
#include <malloc.h>

using namespace crocuswind;

namespace {

const std::vector<std::pair<routing_kind, const char *>> policies
    = {{routing_kind::random, "random"},
       {routing_kind::round_robin, "round robin"},
       {routing_kind::least_loaded, "least loaded"},
       {routing_kind::two_choices, "two choices"},
       {routing_kind::least_wait, "least wait"}};

std::string latencies(const std::vector<model_arrival> &all)
{
    std::vector<double> ms;
    for (const model_arrival &a : all) {
        if (a.isAnswered && a.when > instant(duration(5s)))
            ms.push_back(double((a.ended - a.when).count()) / 1000);
    }
    const std::size_t counted = ms.size();
    return fmt::format("p50 {:7.1f} ms  p99 {:7.1f} ms  p99.9 {:7.1f} ms  ({} answered)",
                       quantile(ms, 0.5), quantile(ms, 0.99), quantile(ms, 0.999), counted);
}

void compareRouting(std::uint64_t seed)
{
    for (bool hasInterference : {true, false}) {
        for (double load : {0.5, 0.85}) {
            model_settings s;
            s.seed = seed;
            s.hasInterference = hasInterference;
            std::vector<model_arrival> arrivals;
            seeded_random random(seed);
            addArrivals(&arrivals, s, random, load * capacityOf(s), instant(), instant(s.end),
                        [&](model_arrival &a) { a.team = int(random.below(25)); });
            fmt::print("routing, load {}, interference {}, {} requests\n", load, hasInterference,
                       arrivals.size());
            for (const auto &[kind, name] : policies) {
                if (kind == routing_kind::least_wait)
                    continue;
                std::vector<model_arrival> run = arrivals;
                runDirect(s, kind, &run);
                fmt::print("  queue at the runner   {:13} {}\n", name, latencies(run));
            }
            for (const auto &[kind, name] : policies) {
                std::vector<model_arrival> run = arrivals;
                runCores(s, kind, &run);
                fmt::print("  queue at the host     {:13} {}\n", name, latencies(run));
            }
        }
    }
}

void measureFailingRunner(std::uint64_t seed)
{
    model_settings s;
    s.seed = seed;
    s.end = 30s;
    s.failsImmediately = [](int runner, instant now) { return runner == 7 && now >= instant(10s); };
    std::vector<model_arrival> arrivals;
    seeded_random random(seed);
    addArrivals(&arrivals, s, random, 0.6 * capacityOf(s), instant(), instant(s.end),
                [&](model_arrival &a) {
                    a.team = int(random.below(25));
                    a.timeLeft = 2s;
                });
    const model_counts counts = runCores(s, routing_kind::least_wait, &arrivals);
    std::uint64_t failing = 0;
    std::uint64_t total = 0;
    for (std::size_t second = 12; second < 30; ++second) {
        for (std::size_t r = 0; r < counts.dispatches[second].size(); ++r) {
            total += counts.dispatches[second][r];
            failing += r == 7 ? counts.dispatches[second][r] : 0;
        }
    }
    std::size_t answered = 0;
    for (const model_arrival &a : arrivals)
        answered += a.isAnswered ? 1 : 0;
    fmt::print(
        "error at once: {} of {} dispatches from 2 s on ({:.3f}%), {} of {} requests answered\n",
        failing, total, 100.0 * double(failing) / double(total), answered, arrivals.size());
}

void measureBrownOut(std::uint64_t seed)
{
    for (double load : {0.3, 0.6, 0.85}) {
        model_settings s;
        s.seed = seed;
        s.slowdown
            = [](instant now) { return now >= instant(20s) && now < instant(40s) ? 3.0 : 1.0; };
        std::vector<model_arrival> arrivals;
        seeded_random random(seed);
        addArrivals(&arrivals, s, random, load * capacityOf(s), instant(), instant(s.end),
                    [&](model_arrival &a) {
                        a.team = int(random.below(25));
                        a.timeLeft = 1s;
                    });
        const model_counts counts = runCores(s, routing_kind::least_wait, &arrivals);
        std::uint64_t attempts = 0;
        std::uint64_t requests = 0;
        std::uint64_t answered = 0;
        std::uint64_t started = 0;
        for (const model_arrival &a : arrivals) {
            if (a.when < instant(20s) || a.when >= instant(40s))
                continue;
            ++requests;
            attempts += std::uint64_t(a.attempts);
            started += a.attempts > 0 ? 1 : 0;
            answered += a.isAnswered ? 1 : 0;
        }
        fmt::print("brown-out, load {}: {:.4f} attempts a request, {:.4f} a started request "
                   "({} requests, {} started, {} answered; greatest queue of a host {})\n",
                   load, double(attempts) / double(requests), double(attempts) / double(started),
                   requests, started, answered, counts.maxQueueLength);
    }
}

struct flood_measurements
{
    double goodput = 0;
    double p99 = 0;
    double startP99 = 0;
};

/// Measures the requests that \p counts selects among those that arrived after the first 5 s.
template <class function>
flood_measurements measure(const std::vector<model_arrival> &all, function counts)
{
    std::vector<double> took;
    std::vector<double> waited;
    std::size_t total = 0;
    for (const model_arrival &a : all) {
        if (a.when < instant(5s) || !counts(a))
            continue;
        ++total;
        if (a.isAnswered)
            took.push_back(double((a.ended - a.when).count()) / 1000);
        if (a.started != instant::max())
            waited.push_back(double((a.started - a.when).count()) / 1000);
    }
    flood_measurements f;
    f.goodput = double(took.size()) / double(std::max<std::size_t>(total, 1));
    f.p99 = quantile(took, 0.99);
    f.startP99 = quantile(waited, 0.99);
    return f;
}

void measureNormalFlood(std::uint64_t seed)
{
    for (int floodingTeams : {25, 1}) {
        model_settings s;
        s.seed = seed;
        s.end = 20s;
        std::vector<model_arrival> urgent;
        seeded_random random(seed);
        addArrivals(&urgent, s, random, 0.5 * capacityOf(s), instant(), instant(s.end),
                    [&](model_arrival &a) {
                        a.team = int(random.below(25));
                        a.timeLeft = 2s;
                    });
        std::vector<model_arrival> both = urgent;
        addArrivals(&both, s, random, 10 * capacityOf(s), instant(2s), instant(s.end),
                    [&](model_arrival &a) {
                        a.team = int(random.below(std::uint64_t(floodingTeams)));
                        a.level = urgency::normal;
                        a.timeLeft = 2s;
                    });
        sortArrivals(&both);
        runCores(s, routing_kind::least_wait, &urgent);
        const model_counts counts = runCores(s, routing_kind::least_wait, &both);
        const auto isUrgent = [](const model_arrival &a) { return a.level == urgency::urgent; };
        const flood_measurements without = measure(urgent, isUrgent);
        const flood_measurements with = measure(both, isUrgent);
        fmt::print(
            "flood of normal work by {} teams: urgent goodput {:.2f}% (without {:.2f}%), p99 "
            "{:.1f} ms (without {:.1f} ms, ratio {:.3f}), start p99 {:.1f} ms, greatest queue "
            "{}\n",
            floodingTeams, 100 * with.goodput, 100 * without.goodput, with.p99, without.p99,
            with.p99 / without.p99, with.startP99, counts.maxQueueLength);
    }
}

void measureTeamFlood(std::uint64_t seed)
{
    for (const auto &[others, offered] : {std::pair{urgency::urgent, 1.0},
                                          {urgency::urgent, 1.2},
                                          {urgency::normal, 1.0},
                                          {urgency::normal, 1.2}}) {
        model_settings s;
        s.seed = seed;
        s.end = 20s;
        std::vector<model_arrival> all;
        seeded_random random(seed);
        const double guaranteed = capacityOf(s) / 25;
        const urgency level = others;
        addArrivals(&all, s, random, 24 * guaranteed * offered, instant(), instant(s.end),
                    [&](model_arrival &a) {
                        a.team = 1 + int(random.below(24));
                        a.level = level;
                        a.timeLeft = 2s;
                    });
        addArrivals(&all, s, random, 10 * capacityOf(s), instant(2s), instant(s.end),
                    [&](model_arrival &a) {
                        a.team = 0;
                        a.timeLeft = 2s;
                    });
        sortArrivals(&all);
        runCores(s, routing_kind::least_wait, &all);
        double worst = 10;
        double sum = 0;
        flood_measurements worstMeasurements;
        for (int team = 1; team < 25; ++team) {
            const flood_measurements f
                = measure(all, [team](const model_arrival &a) { return a.team == team; });
            std::size_t answered = 0;
            for (const model_arrival &a : all)
                answered += a.team == team && a.isAnswered && a.when >= instant(5s) ? 1 : 0;
            const double keptShare = double(answered) / 15 / guaranteed;
            sum += keptShare;
            if (keptShare < worst) {
                worst = keptShare;
                worstMeasurements = f;
            }
        }
        fmt::print(
            "flood of one team's urgent work, others offer {} of their guarantee as {} work: the "
            "worst other team keeps {:.1f}% of its guarantee (mean {:.1f}%; its goodput {:.1f}%, "
            "start p99 {:.1f} ms)\n",
            offered, toString(others), 100 * worst, 100 * sum / 24, 100 * worstMeasurements.goodput,
            worstMeasurements.startP99);
    }
}

/// Measures the heap size of one core after 11 minutes at 590 requests a second, each with a
/// payload of 1 KB and an answer of 4 KB, and nearly as many dispatch commands as the record holds.
void measureMemory()
{
    const auto heap = [] { return double(mallinfo2().uordblks) / 1e6; };
    const double before = heap();
    urgent_settings settings;
    settings.host = host_id{"entry-1"};
    settings.epoch = 1;
    request_core core(settings);
    instant now;
    runners_listed listed;
    for (int r = 0; r < 50; ++r)
        listed.runners.push_back(
            {runner_id{fmt::format("runner-{}", r)}, service_id{"drift"}, 8, 64, false});
    core.handle({now, urgent_quotas_applied{{{team_id{"lab"}, 1}}, {}}});
    core.handle({now, listed});
    core.handle({now, urgent_seat_granted{0, 1, instant::max(), true}});
    request_content content;
    content.service = service_id{"drift"};
    content.team = team_id{"lab"};
    content.isRepeatable = true;
    content.level = urgency::urgent;
    content.payload = std::string(1000, 'p');
    caller_token caller = 0;
    std::deque<std::pair<instant, runner_result>> open;
    for (int i = 0; i < 590 * 660; ++i) {
        now += duration(1695us);
        while (!open.empty() && open.front().first <= now) {
            core.handle({now, open.front().second});
            open.pop_front();
        }
        for (const urgent_action &a : core.handle(
                 {now, request_submitted{++caller, std::nullopt, now + duration(1s), content}})) {
            if (const auto *d = std::get_if<dispatch_to_runner>(&a))
                open.emplace_back(now + duration(50ms),
                                  runner_result{d->attempt, runner_result::kind::answered,
                                                std::string(4000, 'a'), d->id, false});
        }
        if (i % 4 == 0) // 147 commands a second; the record's limit is 166 a second.
            core.handle({now,
                         urgent_message_received{host_id{"entry-2"},
                                                 forward_request{forward_request::purpose::dispatch,
                                                                 {host_id{"entry-2"}, 5, i},
                                                                 std::uint64_t(i),
                                                                 5,
                                                                 1,
                                                                 1,
                                                                 content}}});
    }
    const request_counts c = core.counts();
    fmt::print("memory: {:.1f} MB of heap for {} identifiers, {} dispatch commands, {} bytes of "
               "answers, {} bytes "
               "of payloads\n",
               heap() - before, c.identifiers, c.dispatchCommands, c.answerBytes, c.payloadBytes);
}

} // namespace

int main(int argc, char **argv)
{
    const std::uint64_t seed = argc > 1 ? std::stoull(argv[1]) : 1;
    const std::string only = argc > 2 ? argv[2] : "";
    const auto isSelected = [&only](const char *name) { return only.empty() || only == name; };
    fmt::print("seed {}\n", seed);
    if (isSelected("routing"))
        compareRouting(seed);
    if (isSelected("error"))
        measureFailingRunner(seed);
    if (isSelected("brownout"))
        measureBrownOut(seed);
    if (isSelected("normal"))
        measureNormalFlood(seed);
    if (isSelected("team"))
        measureTeamFlood(seed);
    if (isSelected("memory"))
        measureMemory();
    return 0;
}
