/// Fixture with four workers and two hosts, for changes of ownership while workers leave.
#ifndef CROCUSWIND_TEST_SCHEDULER_DEPARTED_WORKER_H
#define CROCUSWIND_TEST_SCHEDULER_DEPARTED_WORKER_H

#include "correctness/scheduler_world.h"

#include <gtest/gtest.h>

namespace crocuswind::scheduler {

/// A continuous task must run again within 6 s after its previous run ended. Electing a new owner
/// and reading the records takes up to 3 s of this.
constexpr duration continuousRestartLimit = 6s;
constexpr duration takeoverTime = 3s;

struct departed_worker : testing::Test
{
    departed_worker()
        : first(world.addHost("host-1"))
        , second(world.addHost("host-2"))
    {
        for (int i = 0; i < 4; ++i)
            world.addWorker(fmt::format("w{}", i), "rack-1", {4000, 8000, 0});
        world.takeOver(first);
        world.run(200ms);
    }

    job_spec submit(fake_host &owner, const std::string &name, int tasks, bool isContinuous)
    {
        job_spec spec = plainJob(name, tasks);
        spec.steps[0].isContinuous = isContinuous;
        owner.call(job_call_kind::submit, spec.name, &spec);
        return spec;
    }

    // The first owner learns that the worker is about to leave.
    void drain(fake_worker &worker)
    {
        worker.info.isDraining = true;
        first.core.onWorker(world.now, worker.info);
        first.scheduleTick();
    }

    // Returns the first worker that runs a task.
    fake_worker &firstBusyWorker()
    {
        const auto used
            = std::find_if(world.workers.begin(), world.workers.end(),
                           [](const auto &entry) { return !entry.second.runs.empty(); });
        return used->second;
    }

    // Returns the first worker that runs a task of the job.
    fake_worker &firstWorkerOf(const job_spec &spec)
    {
        const auto hasTask = [&](const auto &entry) {
            const auto &runs = entry.second.runs;
            return std::any_of(runs.begin(), runs.end(),
                               [&](const auto &run) { return run.first.job == spec.name; });
        };
        return std::find_if(world.workers.begin(), world.workers.end(), hasTask)->second;
    }

    // Returns the number of runs of the job on workers that are up.
    std::size_t runCount(const job_spec &spec) const
    {
        std::size_t sum = 0;
        for (const auto &[id, worker] : world.workers) {
            for (const auto &[task, run] : worker.runs)
                sum += worker.isUp && task.job == spec.name ? 1 : 0;
        }
        return sum;
    }

    scheduler_world world;
    fake_host &first;
    fake_host &second;
};

} // namespace crocuswind::scheduler

#endif
