// Guards against starts on a worker that has announced its leave, by an owner that learns of it too
// late: its list of workers may be older than the notice that workers give.

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
        , owner(world.addOwner("a"))
    {
        world.takeOver(owner);
        world.run(500ms);
    }

    // The store has accepted the notice; whether the owner learns of it is another matter.
    void announceLeave()
    {
        leaving.info.isDraining = true;
        if (!world.isDiscoveryLate)
            owner.core.onWorker(world.now, leaving.info);
    }

    void submit(const std::string &name, int tasks)
    {
        const job_spec spec = plainJob(name, tasks);
        owner.call(job_call_kind::submit, spec.name, &spec);
    }

    // Counts up each time that a worker runs more.
    int startsOn(const fake_worker &worker) const { return int(worker.runs.size()); }

    scheduler_world world;
    fake_worker &leaving;
    fake_worker &staying;
    fake_owner &owner;
};

} // namespace

TEST_F(late_discovery, NothingStartsByAListOlderThanTheNotice)
{
    world.runTime = [](const task_name &) { return 60s; };
    world.isDiscoveryLate = true;
    announceLeave();
    world.run(scheduler_settings().longestWorkersAge);
    submit("late", 8);
    world.run(3s);
    EXPECT_EQ(startsOn(leaving), 0);
    EXPECT_EQ(startsOn(staying), 0) << "the owner cannot know that this one stays";
    EXPECT_EQ(std::count(owner.events.begin(), owner.events.end(), "starts_held"), 1);

    world.isDiscoveryLate = false;
    owner.core.onWorker(world.now, leaving.info);
    world.run(500ms);
    EXPECT_EQ(startsOn(leaving), 0);
    EXPECT_EQ(startsOn(staying), 4);
    EXPECT_EQ(std::count(owner.events.begin(), owner.events.end(), "starts_resumed"), 1);
}

// A lasting task that is stopped while nothing may start would be away for as long as that lasts.
TEST_F(late_discovery, LastingTasksStayWhileTheyCannotStartElsewhere)
{
    world.runTime = [](const task_name &) { return 3600s; };
    job_spec spec = plainJob("lasting", 4);
    spec.steps[0].isContinuous = true;
    spec.steps[0].size = {1000, 100, 0};
    owner.call(job_call_kind::submit, spec.name, &spec);
    world.run(1s);
    fake_worker &used = leaving.runs.empty() ? staying : leaving;
    const int before = startsOn(used);
    ASSERT_GT(before, 0);
    world.isDiscoveryLate = true;
    world.run(scheduler_settings().longestWorkersAge + 500ms);
    used.info.isDraining = true;
    owner.core.onWorker(world.now, used.info);
    world.run(2s);
    EXPECT_EQ(startsOn(used), before);
    world.isDiscoveryLate = false;
    world.run(3s);
    EXPECT_EQ(startsOn(used), 0);
    EXPECT_EQ(world.runningTasks(), 4u);
}

// While the store answers nobody, no worker can announce anything either: known jobs go on.
TEST_F(late_discovery, KnownJobsStartWhileTheStoreIsAway)
{
    submit("known", 16);
    world.run(500ms);
    world.isStoreDown = true;
    world.run(100ms);
    owner.core.setStoreAvailable(world.now, false);
    world.run(scheduler_settings().longestWorkersAge + 2500ms);
    EXPECT_EQ(std::count(owner.events.begin(), owner.events.end(), "starts_held"), 0);
    std::size_t begun = 0;
    for (const auto &[task, starts] : world.starts)
        begun += starts > 0 ? 1 : 0;
    EXPECT_GT(begun, 8u);
}
