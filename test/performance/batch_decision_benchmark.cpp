// Measures one placement decision, from selecting a task in the queue to claiming a worker. The
// shard is larger than any real one, with 890 workers and 28,000 tasks, and twice as many.

#include "batch/placer.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <chrono>

using namespace crocuswind;

namespace {

constexpr int teams = 25;

job_spec randomSpec(random_source &random, int number, bool isService)
{
    job_spec spec;
    spec.id
        = {team_id{"team-" + std::to_string(random.below(teams))}, "job-" + std::to_string(number)};
    spec.kind = isService ? job_kind::service : job_kind::finite;
    spec.replicas = isService ? 2 : 1;
    spec.size = {std::int64_t(200 + random.below(1400)), std::int64_t(500 + random.below(5000)),
                 random.below(40) == 0 ? 1 : 0};
    return spec;
}

/// Fills a shard with running tasks.
void fill(shard_state &state, random_source &random, int workers, int tasks)
{
    std::vector<worker_info> infos;
    for (int i = 0; i < workers; ++i) {
        infos.push_back({worker_id{"worker-" + std::to_string(i)},
                         rack_id{"rack-" + std::to_string(i / 6)},
                         {32000, 125000, i % 2 == 0 ? 2 : 0},
                         false});
    }
    state.now = instant() + 100s;
    state.setWorkers(infos);
    state.load({});
    for (auto &[worker, session] : state.sessions) {
        session.hasReported = true;
        session.incarnationNumber = 1;
        (void)session.health.recordSuccess(state.now);
        state.refreshEligibility(worker);
    }
    placer filler;
    for (int i = 0; i < tasks; ++i) {
        state.submit(randomSpec(random, i, false));
        if (i % 200 != 0 && i != tasks - 1)
            continue;
        filler.place(state);
        for (const auto &[id, job] : state.jobs.jobs()) {
            if (job.record.tasks[0].state == task_state::claimed)
                state.confirmStart(*state.jobs.find(id), 0);
        }
    }
}

void decide(benchmark::State &run, bool isService)
{
    const int scale = int(run.range(0));
    seeded_random random(20261204);
    shard_settings settings{host_id{"entry-0"}, 1, {data_centre_id{"dakar-1"}, 0}, 1};
    shard_state state(settings);
    fill(state, random, 890 * scale, 28000 * scale);
    std::vector<std::int64_t> nanoseconds;
    placer placement;
    int number = 10'000'000;
    std::size_t claimed = 0;
    for (auto _ : run) {
        job_entry &job = state.submit(randomSpec(random, ++number, isService));
        const std::size_t before = state.queue.size();
        const auto begin = std::chrono::steady_clock::now();
        placement.place(state);
        const auto end = std::chrono::steady_clock::now();
        const auto placed = std::int64_t(before - state.queue.size());
        claimed += std::size_t(placed);
        const auto spent
            = std::chrono::duration_cast<std::chrono::nanoseconds>(end - begin).count();
        nanoseconds.push_back(spent / std::max<std::int64_t>(placed, 1));
        run.SetIterationTime(double(spent) / 1e9);
        state.drop(job.record.spec.id);
    }
    std::sort(nanoseconds.begin(), nanoseconds.end());
    run.counters["median_us"] = double(nanoseconds[nanoseconds.size() / 2]) / 1000;
    run.counters["p99_us"] = double(nanoseconds[nanoseconds.size() * 99 / 100]) / 1000;
    run.counters["placed"] = double(claimed);
}

void batchTask(benchmark::State &run)
{
    decide(run, false);
}

void serviceWithTwoReplicas(benchmark::State &run)
{
    decide(run, true);
}

BENCHMARK(batchTask)->Arg(1)->Arg(2)->Iterations(20000)->UseManualTime();
BENCHMARK(serviceWithTwoReplicas)->Arg(1)->Arg(2)->Iterations(20000)->UseManualTime();

} // namespace

BENCHMARK_MAIN();
