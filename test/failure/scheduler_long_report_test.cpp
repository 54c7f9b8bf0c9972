// Guards against runs that are started again although they have succeeded, because a worker lists
// only a limited number of completions in one report and theirs are not among them.

#include "correctness/scheduler_world.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

constexpr int taskCount = 1600;

/// Two workers on which 1,600 short tasks run at the same time.
struct long_report : testing::Test
{
    long_report()
        : first(world.addHost("host-1"))
        , second(world.addHost("host-2"))
    {
        for (const char *name : {"w0", "w1"})
            world.addWorker(name, "rack-1", {100000, 100000, 0});
        world.runTime = [](const task_name &) { return 2s; };
        world.takeOver(first);
        world.run(200ms);
        spec = plainJob("a", taskCount);
        spec.steps[0].size = {100, 10, 0};
        first.call(job_call_kind::submit, spec.name, &spec);
        world.run(1500ms);
    }

    void expectEachTaskStartedOnce()
    {
        EXPECT_EQ(world.starts.size(), std::size_t(taskCount));
        int repeated = 0;
        for (const auto &[task, starts] : world.starts)
            repeated += starts - 1;
        EXPECT_EQ(repeated, 0);
        EXPECT_EQ(world.violations, std::vector<std::string>());
    }

    bool isCompleted(fake_host &owner)
    {
        const call_token token = owner.call(job_call_kind::query, spec.name);
        return owner.replies.at(token).status == job_status::completed;
    }

    scheduler_world world;
    fake_host &first;
    fake_host &second;
    job_spec spec;
};

} // namespace

TEST_F(long_report, RepeatsNoTaskAfterAStoreOutage)
{
    world.isStoreDown = true;
    world.run(4500ms);
    ASSERT_EQ(world.done.size(), std::size_t(taskCount));
    world.isStoreDown = false;
    world.run(10s);
    expectEachTaskStartedOnce();
    EXPECT_TRUE(isCompleted(first));
}

TEST_F(long_report, RepeatsNoTaskAfterATakeover)
{
    first.isStoreUnreachable = true;
    world.run(2500ms);
    ASSERT_EQ(world.done.size(), std::size_t(taskCount));
    first.isDead = true;
    world.takeOver(second);
    world.run(10s);
    expectEachTaskStartedOnce();
    EXPECT_TRUE(isCompleted(second));
}

// A run that is missing from a partial report is given up once a whole report lacks it too.
TEST_F(long_report, RepeatsTasksThatAreGone)
{
    world.isStoreDown = true;
    world.run(3s);
    ASSERT_EQ(world.done.size(), std::size_t(taskCount));
    world.restartWorker(world.workers.at({"w0"}));
    world.isStoreDown = false;
    world.run(15s);
    EXPECT_TRUE(isCompleted(first));
}
