// Guards against continuous tasks that wait behind new work after a change of the owner, because
// the new owner does not know that they were interrupted.

#include "scheduler_departed_worker.h"

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

/// Four workers of which one runs four continuous tasks, and an owner that has more new work in
/// time than there is room.
struct inherited_task : departed_worker
{
    inherited_task()
    {
        world.runTime = [this](const task_name &name) {
            return name.job == spec.name ? duration(1000s) : duration(1500ms);
        };
        spec = submit(first, "continuous", 4, true);
        world.run(500ms);
        submitWork();
    }

    // Submits a job of 40 finite tasks every half second. Their objective leaves them a minute.
    void submitWork()
    {
        if (fake_host &owner = second.core.isOwner() ? second : first; owner.core.isOwner()) {
            job_spec work = plainJob(fmt::format("work-{}", ++submitted), 40);
            work.steps[0].expectedRunMs = 1500;
            owner.call(job_call_kind::submit, work.name, &work);
        }
        world.at(world.now + 500ms, [this] { submitWork(); });
    }

    job_spec spec;
    int submitted = 0;
};

} // namespace

TEST_F(inherited_task, GoesBeforeNewWorkOnceItMayRunAgain)
{
    world.queues[0].objectiveSlackMs = 60000;
    first.core.setQueues(world.now, world.queues);
    world.run(2s);
    ASSERT_EQ(runCount(spec), 4U);
    first.isDead = true;
    world.removeWorker(firstWorkerOf(spec));
    ASSERT_LT(runCount(spec), 4U);
    world.run(1s);
    world.takeOver(second);
    world.run(election_settings().authorityLimit + 1700ms);
    EXPECT_EQ(runCount(spec), 4U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// The owner itself gave up the runs of a silent worker as their lease lapsed, 6 s after the last
// sign of them, and counted the interruption from then.
TEST_F(inherited_task, CountsTheInterruptionFromTheLastReport)
{
    world.queues[0].objectiveSlackMs = 60000;
    first.core.setQueues(world.now, world.queues);
    world.run(2s);
    ASSERT_EQ(runCount(spec), 4U);
    world.removeWorker(firstWorkerOf(spec));
    world.run(scheduler_settings().workerLease + 300ms + 1600ms);
    EXPECT_EQ(runCount(spec), 4U);
}

TEST_F(inherited_task, ThatNeverBeganDoesNotGoBeforeWorkInTime)
{
    world.queues[0].objectiveSlackMs = 60000;
    first.core.setQueues(world.now, world.queues);
    world.run(2s);
    const job_spec late = submit(first, "late", 16, true);
    world.run(1s);
    const std::size_t before = runCount(late);
    ASSERT_LT(before, 16U);
    first.isDead = true;
    world.run(1s);
    world.takeOver(second);
    world.run(6s);
    EXPECT_EQ(runCount(late), before);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}
