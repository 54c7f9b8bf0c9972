// Guards against starts that reach a later life of a worker, whose lease then lasts longer than any
// later owner waits, so that tasks run twice.

#include "scheduler_departed_worker.h"

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

/// Time from the loss of an owner until the next one has read the records.
constexpr duration electionTime = 1200ms;

struct restarted_lease_test : departed_worker
{
    // Runs until all workers have just answered a poll.
    void runUntilPolled()
    {
        const std::int64_t before = first.core.counters().polls;
        while (first.core.counters().polls < before + std::int64_t(world.workers.size()))
            world.run(1ms);
        world.run(3 * messageDelay);
    }

    // All workers crash after a poll. Their next one has not failed yet when they are back, and
    // service discovery still shows their former lives. The starts carry deadlines on the clocks of
    // these.
    void startOnRestartedWorkers()
    {
        world.runTime = [](const task_name &) { return 1000s; };
        world.run(60s);
        runUntilPolled();
        for (auto &[id, worker] : world.workers)
            worker.isUp = false;
        world.run(sameIncarnationLimit + 100ms);
        for (auto &[id, worker] : world.workers)
            world.restartWorker(worker);
        world.run(10ms);
        spec = submit(first, "a", 8, true);
    }

    // Runs until the owner has learnt of a restart of each worker.
    void runUntilRestartsAreKnown()
    {
        const auto isKnown = [&] {
            return std::size_t(
                       std::count(first.events.begin(), first.events.end(), "worker_restarted"))
                >= world.workers.size();
        };
        for (const instant end = world.now + 1s; !isKnown() && world.now < end;)
            world.run(1ms);
        ASSERT_TRUE(isKnown());
        learntAt = world.now;
    }

    // Stops the owner as planned; the next one takes over 200 ms later.
    void handOver(fake_host &owner, fake_host &next)
    {
        while (!owner.core.prepareHandover(world.now))
            world.run(10ms);
        owner.core.giveUp(world.now);
        owner.isDead = true;
        world.run(200ms);
        world.takeOver(next);
    }

    void runUntil(instant time) { world.run(time - world.now); }

    job_spec spec;
    instant learntAt;
};

} // namespace

TEST_F(restarted_lease_test, DuplicatesNoRunOfAWorkerThatRestartedUnnoticed)
{
    startOnRestartedWorkers();
    world.run(300ms);
    ASSERT_EQ(runCount(spec), 8U);
    second.unreachableWorkers = {firstBusyWorker().info.id};
    handOver(first, second);
    world.run(15s);
    EXPECT_EQ(runCount(spec), 8U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// An owner that is killed stores nothing on its way out.
TEST_F(restarted_lease_test, DuplicatesNoRunIfTheOwnerIsKilledSoonAfterItLearntOfTheRestart)
{
    startOnRestartedWorkers();
    runUntilRestartsAreKnown();
    world.run(100ms);
    ASSERT_EQ(runCount(spec), 8U);
    second.unreachableWorkers = {firstBusyWorker().info.id};
    first.isDead = true;
    world.run(electionTime);
    world.takeOver(second);
    world.run(15s);
    EXPECT_EQ(runCount(spec), 8U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// The store answers late while the owner hands over.
TEST_F(restarted_lease_test, IsStoredBeforeAPlannedHandOverEnds)
{
    startOnRestartedWorkers();
    runUntilRestartsAreKnown();
    world.storeDelay = 700ms;
    submit(first, "b", 1, false);
    world.run(100ms);
    ASSERT_EQ(runCount(spec), 8U);
    second.unreachableWorkers = {firstBusyWorker().info.id};
    handOver(first, second);
    world.storeDelay = 0ms;
    world.run(15s);
    EXPECT_EQ(runCount(spec), 8U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// Owners in turn, the later ones of which have just started, wait for the lease once.
TEST_F(restarted_lease_test, IsAwaitedOnceByOwnersThatHaveJustStarted)
{
    startOnRestartedWorkers();
    runUntilRestartsAreKnown();
    world.run(100ms);
    const worker_id lost = firstBusyWorker().info.id;
    second.unreachableWorkers = {lost};
    handOver(first, second);
    fake_host *owner = &second;
    for (int i = 0; i < 3; ++i) {
        world.run(1500ms);
        fake_host &late = world.addHost(fmt::format("late-{}", i));
        late.unreachableWorkers = {lost};
        handOver(*owner, late);
        owner = &late;
    }
    runUntil(learntAt + scheduler_settings().longestLease - 100ms);
    EXPECT_EQ(runCount(spec), 8U);
    EXPECT_EQ(world.starts.size(), 8U);
    runUntil(learntAt + scheduler_settings().longestLease + 1500ms);
    EXPECT_EQ(runCount(spec), 8U);
    EXPECT_TRUE(world.workers.at(lost).runs.empty());
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// The list says nothing of a lease that has lapsed, so that a much later owner doesn't await it.
TEST_F(restarted_lease_test, IsForgottenOnceItHasLapsed)
{
    startOnRestartedWorkers();
    runUntilRestartsAreKnown();
    world.run(1s);
    const std::string key = scheduler_settings().keyPrefix + "workers";
    EXPECT_NE(world.store.at(key).find(" restarted/"), std::string::npos);
    world.run(scheduler_settings().longestLease);
    EXPECT_EQ(world.store.at(key).find(" restarted/"), std::string::npos);
}
