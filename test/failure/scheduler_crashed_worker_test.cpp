// Guards against inherited tasks that wait for a worker which crashed together with the owner. As
// the worker had not drained, no record tells which tasks it may still run.

#include "scheduler_departed_worker.h"

using namespace crocuswind;
using namespace crocuswind::scheduler;

TEST_F(departed_worker, ItsContinuousTasksRunElsewhereInTime)
{
    world.runTime = [](const task_name &) { return 1000s; };
    const job_spec spec = submit(first, "a", 8, true);
    world.run(500ms);
    ASSERT_EQ(runCount(spec), 8U);
    first.isDead = true;
    world.removeWorker(firstBusyWorker());
    world.run(takeoverTime);
    world.takeOver(second);
    world.run(continuousRestartLimit - takeoverTime);
    EXPECT_EQ(runCount(spec), 8U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// The tasks were being stopped on a draining worker when the ownership changed. The draining worker
// was reachable, but workers that had left before delayed the tasks.
TEST_F(departed_worker, DelaysNoTaskThatWasStoppedOnAnotherWorker)
{
    world.runTime = [](const task_name &) { return 1000s; };
    const job_spec spec = submit(first, "a", 8, true);
    world.run(500ms);
    fake_worker &draining = firstBusyWorker();
    draining.info.isDraining = true;
    first.core.onWorker(world.now, draining.info);
    first.isDead = true;
    for (auto &[id, worker] : world.workers) {
        if (worker.runs.empty()) {
            world.removeWorker(worker);
            break;
        }
    }
    world.addWorker("w4", "rack-1", {4000, 8000, 0});
    world.run(takeoverTime);
    world.takeOver(second);
    world.run(continuousRestartLimit - takeoverTime);
    EXPECT_EQ(runCount(spec), 8U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

TEST_F(departed_worker, DelaysNoWaitingTasks)
{
    world.runTime = [](const task_name &) { return 2s; };
    const job_spec running = submit(first, "a", 16, false);
    const job_spec waiting = submit(first, "b", 8, false);
    world.run(500ms);
    ASSERT_EQ(runCount(running), 16U);
    ASSERT_EQ(runCount(waiting), 0U);
    first.isDead = true;
    world.removeWorker(world.workers.at({"w0"}));
    world.run(takeoverTime);
    world.takeOver(second);
    world.run(continuousRestartLimit - takeoverTime);
    EXPECT_GE(world.starts.size(), running.steps[0].count + waiting.steps[0].count);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}
