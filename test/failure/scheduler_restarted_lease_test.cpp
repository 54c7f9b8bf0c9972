// Guards against starts that reach a later life of a worker, whose lease then lasts longer than any
// later owner waits, so that tasks run twice.

#include "scheduler_departed_worker.h"

using namespace crocuswind;
using namespace crocuswind::scheduler;

// All workers crash between two polls and are back while service discovery still shows their former
// lives. The starts carry deadlines on the clocks of these.
TEST_F(departed_worker, DuplicatesNoRunOfAWorkerThatRestartedUnnoticed)
{
    world.runTime = [](const task_name &) { return 1000s; };
    world.run(60s);
    for (auto &[id, worker] : world.workers) {
        worker.isUp = false;
        worker.refusesConnections = true;
    }
    world.run(sameIncarnationLimit + 100ms);
    for (auto &[id, worker] : world.workers)
        world.restartWorker(worker);
    world.run(10ms);
    const job_spec spec = submit(first, "a", 8, true);
    world.run(300ms);
    ASSERT_EQ(runCount(spec), 8U);
    second.unreachableWorkers = {firstBusyWorker().info.id};
    while (!first.core.prepareHandover(world.now))
        world.run(10ms);
    first.core.giveUp(world.now);
    first.isDead = true;
    world.run(200ms);
    world.takeOver(second);
    world.run(15s);
    EXPECT_EQ(runCount(spec), 8U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}
