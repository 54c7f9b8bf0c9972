// Guards against starts on a worker that has announced that it will leave. The owner's list of
// workers may be older than the notice period of workers, so that the owner learns of the leave too
// late.

#include "correctness/scheduler_world.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

struct late_discovery : testing::Test
{
    late_discovery()
        : leaving(world.addWorker("w0", "r0", {4000, 4000, 0}))
        , staying(world.addWorker("w1", "r1", {4000, 4000, 0}))
        , owner(world.addHost("a"))
    {
        world.takeOver(owner);
        world.run(500ms);
    }

    // Records the notice in the store; the owner learns of it only if service discovery is up to
    // date.
    void announceDeparture()
    {
        leaving.info.isDraining = true;
        if (!world.isDiscoveryStale)
            owner.core.onWorker(world.now, leaving.info);
    }

    void submit(const std::string &name, int tasks)
    {
        const job_spec spec = plainJob(name, tasks);
        owner.call(job_call_kind::submit, spec.name, &spec);
    }

    // Returns the number of runs on the worker.
    int runsOn(const fake_worker &worker) const { return int(worker.runs.size()); }

    scheduler_world world;
    fake_worker &leaving;
    fake_worker &staying;
    fake_host &owner;
};

} // namespace

TEST_F(late_discovery, NothingStartsFromAListOlderThanTheNoticePeriod)
{
    world.runTime = [](const task_name &) { return 60s; };
    world.isDiscoveryStale = true;
    announceDeparture();
    world.run(scheduler_settings().longestWorkersAge);
    submit("late", 8);
    world.run(3s);
    EXPECT_EQ(runsOn(leaving), 0);
    EXPECT_EQ(runsOn(staying), 0) << "the owner cannot know that this worker stays";
    EXPECT_EQ(std::count(owner.events.begin(), owner.events.end(), "starts_held"), 1);

    world.isDiscoveryStale = false;
    owner.core.onWorker(world.now, leaving.info);
    world.run(500ms);
    EXPECT_EQ(runsOn(leaving), 0);
    EXPECT_EQ(runsOn(staying), 4);
    EXPECT_EQ(std::count(owner.events.begin(), owner.events.end(), "starts_resumed"), 1);
}

// A continuous task that is stopped while starts are suspended would not run until they resume.
TEST_F(late_discovery, ContinuousTasksStayWhileTheyCannotStartElsewhere)
{
    world.runTime = [](const task_name &) { return 3600s; };
    job_spec spec = plainJob("lasting", 4);
    spec.steps[0].isContinuous = true;
    spec.steps[0].size = {1000, 100, 0};
    owner.call(job_call_kind::submit, spec.name, &spec);
    world.run(1s);
    fake_worker &used = leaving.runs.empty() ? staying : leaving;
    const int before = runsOn(used);
    ASSERT_GT(before, 0);
    world.isDiscoveryStale = true;
    world.run(scheduler_settings().longestWorkersAge + 500ms);
    used.info.isDraining = true;
    owner.core.onWorker(world.now, used.info);
    world.run(2s);
    EXPECT_EQ(runsOn(used), before);
    world.isDiscoveryStale = false;
    world.run(3s);
    EXPECT_EQ(runsOn(used), 0);
    EXPECT_EQ(world.runningTasks(), 4u);
}

// While the store is unavailable, no worker can announce that it will leave either, so that tasks
// of known jobs may start.
TEST_F(late_discovery, KnownJobsStartWhileTheStoreIsUnavailable)
{
    submit("known", 16);
    world.run(500ms);
    world.isStoreDown = true;
    world.run(100ms);
    owner.core.setStoreAvailable(world.now, false);
    world.run(scheduler_settings().longestWorkersAge + 2500ms);
    EXPECT_EQ(std::count(owner.events.begin(), owner.events.end(), "starts_held"), 0);
    std::size_t startedTasks = 0;
    for (const auto &[task, starts] : world.starts)
        startedTasks += starts > 0 ? 1 : 0;
    EXPECT_GT(startedTasks, 8u);
}
