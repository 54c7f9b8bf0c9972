/// A world of four workers in which the ownership of the jobs changes while workers leave.
#ifndef CROCUSWIND_TEST_SCHEDULER_DEPARTED_WORKER_H
#define CROCUSWIND_TEST_SCHEDULER_DEPARTED_WORKER_H

#include "correctness/scheduler_world.h"

#include <gtest/gtest.h>

namespace crocuswind::scheduler {

/// A lasting task must run again within 6 s after its last run. Of these, up to 3 s pass before a
/// new owner is elected and has read the records.
constexpr duration lastingLimit = 6s;
constexpr duration takeoverTime = 3s;

struct departed_worker : testing::Test
{
    departed_worker()
        : first(world.addOwner("host-1"))
        , second(world.addOwner("host-2"))
    {
        for (int i = 0; i < 4; ++i)
            world.addWorker(fmt::format("w{}", i), "rack-1", {4000, 8000, 0});
        world.takeOver(first);
        world.run(200ms);
    }

    job_spec submit(fake_owner &owner, const std::string &name, int tasks, bool isContinuous)
    {
        job_spec spec = plainJob(name, tasks);
        spec.steps[0].isContinuous = isContinuous;
        owner.call(job_call_kind::submit, spec.name, &spec);
        return spec;
    }

    fake_worker &usedWorker()
    {
        const auto used
            = std::find_if(world.workers.begin(), world.workers.end(),
                           [](const auto &entry) { return !entry.second.runs.empty(); });
        return used->second;
    }

    std::size_t runsOf(const job_spec &spec) const
    {
        std::size_t sum = 0;
        for (const auto &[id, worker] : world.workers) {
            for (const auto &[task, run] : worker.runs)
                sum += worker.isUp && task.job == spec.name ? 1 : 0;
        }
        return sum;
    }

    scheduler_world world;
    fake_owner &first;
    fake_owner &second;
};

} // namespace crocuswind::scheduler

#endif
