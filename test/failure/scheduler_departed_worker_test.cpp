// Guards against inherited tasks that wait for workers that have left, when the ownership of the
// jobs changes during a rolling replacement of workers.

#include "scheduler_departed_worker.h"

using namespace crocuswind;
using namespace crocuswind::scheduler;

// A worker behind a partition continues its runs until its lease has expired.
TEST_F(departed_worker, AnUnreachableWorkerStillBlocksItsTasks)
{
    world.runTime = [](const task_name &) { return 1000s; };
    const job_spec spec = submit(first, "a", 8, true);
    world.run(500ms);
    second.unreachableWorkers = {firstBusyWorker().info.id};
    first.isDead = true;
    world.run(1s);
    world.takeOver(second);
    world.run(12s);
    EXPECT_EQ(runCount(spec), 8U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// A machine that has left may be switched off, so that it does not refuse connections either. The
// tasks that a draining worker may still run are on record, and only these wait for it.
TEST_F(departed_worker, AnUnreachableWorkerThatHadDrainedBlocksNoTask)
{
    world.runTime = [](const task_name &) { return 1000s; };
    const job_spec spec = submit(first, "a", 8, true);
    world.run(500ms);
    fake_worker &leaving = firstBusyWorker();
    drain(leaving);
    world.run(2s);
    ASSERT_TRUE(leaving.runs.empty());
    first.isDead = true;
    world.removeWorker(leaving);
    leaving.refusesConnections = false;
    // Another worker crashes, which ends its tasks, and is back before the takeover.
    fake_worker &crashed = firstBusyWorker();
    crashed.isUp = false;
    world.run(2s);
    world.restartWorker(crashed);
    world.run(takeoverTime - 2s);
    world.takeOver(second);
    world.run(continuousRestartLimit - takeoverTime);
    EXPECT_EQ(runCount(spec), 8U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// The record of the tasks on a leaving worker was dropped if another owner had been elected since,
// even one that was stopped before it read the records.
TEST_F(departed_worker, BlocksNoTaskAfterAnOwnerThatNeverServed)
{
    world.runTime = [](const task_name &) { return 1000s; };
    const job_spec spec = submit(first, "a", 8, true);
    world.run(500ms);
    fake_worker &leaving = firstBusyWorker();
    drain(leaving);
    world.run(2s);
    ASSERT_TRUE(leaving.runs.empty());
    // A task ends on another worker without an owner to see it.
    world.removeWorker(leaving);
    leaving.refusesConnections = false;
    fake_worker &crashed = firstBusyWorker();
    first.isDead = true;
    crashed.isUp = false;
    ++world.storeEpoch;
    world.run(2s);
    world.restartWorker(crashed);
    world.run(takeoverTime - 2s);
    world.takeOver(second);
    world.run(continuousRestartLimit - takeoverTime);
    EXPECT_EQ(runCount(spec), 8U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// The record of a former owner must not outlive the use of the worker by a later one.
TEST_F(departed_worker, BlocksTheTasksThatALaterOwnerStartedThere)
{
    world.runTime = [](const task_name &) { return 1000s; };
    fake_worker &worker = world.workers.at({"w0"});
    drain(worker);
    world.run(500ms);
    first.isDead = true;
    worker.info.isDraining = false;
    world.run(1s);
    world.takeOver(second);
    world.run(500ms);
    const job_spec spec = submit(second, "a", 16, true);
    world.run(500ms);
    ASSERT_EQ(worker.runs.size(), 4U);
    second.isDead = true;
    ++world.storeEpoch;
    world.run(1s);
    fake_host &third = world.addHost("host-3");
    third.unreachableWorkers = {worker.info.id};
    world.takeOver(third);
    world.run(12s);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

TEST_F(departed_worker, AnUnreachableDrainingWorkerBlocksTheTasksThatItRuns)
{
    world.runTime = [](const task_name &) { return 4s; };
    const job_spec spec = submit(first, "a", 16, false);
    world.run(500ms);
    fake_worker &draining = firstBusyWorker();
    drain(draining);
    world.run(500ms);
    first.isDead = true;
    second.unreachableWorkers = {draining.info.id};
    world.run(1s);
    world.takeOver(second);
    world.run(4s);
    second.unreachableWorkers.clear();
    world.run(3s);
    for (const auto &[task, starts] : world.starts)
        EXPECT_EQ(starts, 1) << toString(task);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

TEST_F(departed_worker, AWorkerThatStoppedDrainingBlocksTheTasksStartedSince)
{
    world.runTime = [](const task_name &) { return 5s; };
    fake_worker &worker = world.workers.at({"w0"});
    for (const bool isDraining : {true, false}) {
        worker.info.isDraining = isDraining;
        first.core.onWorker(world.now, worker.info);
        first.scheduleTick();
        world.run(500ms);
    }
    const job_spec spec = submit(first, "a", 16, false);
    world.run(500ms);
    ASSERT_EQ(worker.runs.size(), 4U);
    first.isDead = true;
    second.unreachableWorkers = {worker.info.id};
    world.run(1s);
    world.takeOver(second);
    world.run(3s);
    EXPECT_EQ(world.violations, std::vector<std::string>());
    for (const auto &[task, starts] : world.starts)
        EXPECT_EQ(starts, 1) << toString(task);
}

// A host that was elected again regarded workers as listed although they had left while another
// host was the owner. It recorded them in the list of workers, and the next owner waited for them.
TEST_F(departed_worker, IsForgottenByAnOwnerThatIsElectedAgain)
{
    first.core.giveUp(world.now);
    world.takeOver(second);
    world.run(500ms);
    world.removeWorker(world.workers.at({"w0"}));
    world.run(1s);
    second.isDead = true;
    world.takeOver(first);
    world.run(1s);
    EXPECT_EQ(world.store.at("cw/workers").find("w0 "), std::string::npos);
    EXPECT_NE(world.store.at("cw/workers").find("w1 "), std::string::npos);
}

// A partition refused connections to workers that continued to run; their tasks were started a
// second time.
TEST_F(departed_worker, ARefusedConnectionDoesNotShowThatTheWorkerIsGone)
{
    world.runTime = [](const task_name &) { return 4s; };
    submit(first, "a", 8, false);
    world.run(500ms);
    first.partitionRefusesConnections = true;
    first.unreachableWorkers = {firstBusyWorker().info.id};
    world.run(1s);
    first.isDead = true;
    second.partitionRefusesConnections = true;
    second.unreachableWorkers = first.unreachableWorkers;
    world.run(1s);
    world.takeOver(second);
    world.run(3s);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// The worker continues to run at its recorded address. A discovery entry from before its last
// restart names another address, where nothing listens.
TEST_F(departed_worker, ARefusalAtAnotherAddressDoesNotShowThatTheWorkerIsGone)
{
    world.runTime = [](const task_name &) { return 4s; };
    submit(first, "a", 8, false);
    world.run(500ms);
    first.isDead = true;
    world.run(1s);
    world.takeOver(second);
    worker_info former = firstBusyWorker().info;
    former.address = "at-a-former-address";
    second.core.onWorker(world.now, former);
    second.scheduleTick();
    world.run(3s);
    for (const auto &[task, starts] : world.starts)
        EXPECT_EQ(starts, 1) << toString(task);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// An owner of a version that does not write such records left an outdated record in the store.
TEST_F(departed_worker, ARecordFromBeforeThePreviousOwnerIsIgnored)
{
    world.runTime = [](const task_name &) { return 5s; };
    submit(first, "a", 8, false);
    world.run(500ms);
    const worker_id used = firstBusyWorker().info.id;
    world.store["cw/leaving/" + used.value] = "0\n";
    first.isDead = true;
    second.unreachableWorkers = {used};
    world.run(1s);
    world.takeOver(second);
    world.run(2s);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// Service discovery lost a worker for a moment. The owner removed the worker from the recorded list
// before the completions that it had reported were durable, so the next owner did not wait for it.
TEST_F(departed_worker, StaysOnTheListUntilItsCompletionsAreDurable)
{
    fake_worker &large = world.addWorker("large", "rack-1", {90000, 80000, 0});
    first.core.onWorker(world.now, large.info);
    first.scheduleTick();
    world.run(200ms);
    for (int i = 0; i < 4; ++i)
        first.core.onWorkerGone(world.now, world.workers.at({fmt::format("w{}", i)}).info.id);
    world.runTime = [](const task_name &) { return 3s; };
    for (int i = 0; i < 90; ++i)
        submit(first, fmt::format("j{}", i), 1, false);
    world.run(2s);
    ASSERT_EQ(large.runs.size(), 90U);
    for (auto &[task, run] : large.runs)
        run.endsAt = world.now + 100ms;
    large.isListed = false;
    first.core.onWorkerGone(world.now, large.info.id);
    first.scheduleTick();
    world.isStoreDown = true; // More completions wait than fit into one batch.
    world.run(500ms);
    world.isStoreDown = false;
    const auto isOnList
        = [this] { return world.store["cw/workers"].find("large") != std::string::npos; };
    for (int i = 0; i < 400 && isOnList(); ++i)
        world.run(1ms);
    first.isDead = true;
    world.run(1s);
    world.takeOver(second);
    world.run(300ms);
    large.isListed = true;
    second.core.onWorker(world.now, large.info);
    second.scheduleTick();
    world.run(5s);
    for (const auto &[task, starts] : world.starts)
        EXPECT_EQ(starts, 1) << toString(task);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// A record that names tasks which the worker no longer has is corrected within a second, or by the
// hand-over.
TEST_F(departed_worker, IsLimitedToItsLastTasksByAHandover)
{
    world.runTime = [](const task_name &) { return 1000s; };
    const job_spec finite = submit(first, "f", 4, false);
    world.run(300ms);
    const job_spec spec = submit(first, "a", 8, true);
    world.run(500ms);
    fake_worker &leaving = firstWorkerOf(finite);
    drain(leaving);
    world.run(500ms);
    ASSERT_FALSE(leaving.runs.empty());
    std::string tasks;
    for (const auto &[task, run] : leaving.runs)
        tasks += toString(task) + '\n';
    while (!first.core.prepareHandover(world.now))
        world.run(10ms);
    EXPECT_EQ(world.store.at("cw/leaving/" + leaving.info.id.value), "1\n" + tasks);
}

// An idle owner that is stopped while the store is away waited for a commit that only confirms its
// ownership.
TEST_F(departed_worker, APlannedStopWaitsForNoCommitThatStoresNothing)
{
    world.run(2s);
    while (!first.core.prepareHandover(world.now))
        world.run(10ms);
    world.isStoreDown = true;
    world.run(2s);
    EXPECT_TRUE(first.core.prepareHandover(world.now));
}
