// Guards against inherited work that waits for a worker which crashed with its owner, without
// having drained before: nothing on record says which tasks it may have.

#include "scheduler_departed_worker.h"

using namespace crocuswind;
using namespace crocuswind::scheduler;

TEST_F(departed_worker, ItsLastingTasksRunElsewhereInTime)
{
    world.runTime = [](const task_name &) { return 1000s; };
    const job_spec spec = submit(first, "a", 8, true);
    world.run(500ms);
    ASSERT_EQ(runsOf(spec), 8U);
    first.isDead = true;
    world.leave(usedWorker());
    world.run(takeoverTime);
    world.takeOver(second);
    world.run(lastingLimit - takeoverTime);
    EXPECT_EQ(runsOf(spec), 8U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// The tasks were stopped on a draining worker at the moment of the change; the worker was there,
// and others that had left before held the tasks back.
TEST_F(departed_worker, HoldsNoTaskBackThatWasStoppedOnAnotherWorker)
{
    world.runTime = [](const task_name &) { return 1000s; };
    const job_spec spec = submit(first, "a", 8, true);
    world.run(500ms);
    fake_worker &draining = usedWorker();
    draining.info.isDraining = true;
    first.core.onWorker(world.now, draining.info);
    first.isDead = true;
    for (auto &[id, worker] : world.workers) {
        if (worker.runs.empty()) {
            world.leave(worker);
            break;
        }
    }
    world.addWorker("w4", "rack-1", {4000, 8000, 0});
    world.run(takeoverTime);
    world.takeOver(second);
    world.run(lastingLimit - takeoverTime);
    EXPECT_EQ(runsOf(spec), 8U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

TEST_F(departed_worker, HoldsNoWaitingWorkBack)
{
    world.runTime = [](const task_name &) { return 2s; };
    const job_spec running = submit(first, "a", 16, false);
    const job_spec waiting = submit(first, "b", 8, false);
    world.run(500ms);
    ASSERT_EQ(runsOf(running), 16U);
    ASSERT_EQ(runsOf(waiting), 0U);
    first.isDead = true;
    world.leave(world.workers.at({"w0"}));
    world.run(takeoverTime);
    world.takeOver(second);
    world.run(lastingLimit - takeoverTime);
    EXPECT_GE(world.starts.size(), running.steps[0].count + waiting.steps[0].count);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}
