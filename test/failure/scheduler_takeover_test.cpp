// Guards against runs that are duplicated or lost when the ownership of the jobs changes. Each test
// reproduces a fault that occurred in a deployment.

#include "correctness/scheduler_world.h"

#include <gtest/gtest.h>
#include <utility>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

struct takeover : testing::Test
{
    takeover()
        : first(world.addHost("host-1"))
        , second(world.addHost("host-2"))
    {
        for (int i = 0; i < 3; ++i)
            world.addWorker(fmt::format("w{}", i), "rack-1", {4000, 8000, 0});
        world.takeOver(first);
        world.run(200ms);
    }

    void submit(fake_host &owner, const job_spec &spec)
    {
        owner.call(job_call_kind::submit, spec.name, &spec);
    }

    void kill(fake_host &owner) { owner.isDead = true; }

    // Lets the first owner start a job, and kills the owner while the tasks run.
    job_spec startAndKillOwner(int tasks, duration runTime)
    {
        world.runTime = [runTime](const task_name &) { return runTime; };
        const job_spec spec = plainJob("a", tasks);
        submit(first, spec);
        world.run(500ms);
        kill(first);
        return spec;
    }

    // Makes all present runs fail at their end.
    void failRuns()
    {
        for (auto &[id, worker] : world.workers) {
            for (auto &[task, run] : worker.runs)
                run.willFail = true;
        }
    }

    // Returns the number of starts of all tasks.
    int totalStarts() const
    {
        int sum = 0;
        for (const auto &[task, starts] : world.starts)
            sum += starts;
        return sum;
    }

    job_status status(fake_host &owner, const job_spec &spec)
    {
        return owner.replies.at(owner.call(job_call_kind::query, spec.name)).status;
    }

    scheduler_world world;
    fake_host &first;
    fake_host &second;
};

} // namespace

TEST_F(takeover, AdoptsRunsAndStartsNothingTwice)
{
    const job_spec spec = startAndKillOwner(8, 3s);
    world.run(1500ms);
    world.takeOver(second);
    world.run(6s);
    EXPECT_EQ(totalStarts(), 8);
    EXPECT_EQ(status(second, spec), job_status::completed);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// A store outage together with a partitioned data centre delayed the takeover until the leases of
// most workers had expired: all continuous tasks ended and were restarted.
TEST_F(takeover, AdoptsRunsNearlyFiveSecondsAfterTheOwnerWasLost)
{
    const job_spec spec = startAndKillOwner(8, 20s);
    world.run(4800ms);
    world.takeOver(second);
    world.run(1s);
    EXPECT_EQ(totalStarts(), 8);
    EXPECT_EQ(world.runningTasks(), 8U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// An owner that was elected right after its process started had not read the configuration yet. It
// failed a job after one failed run, although the queue allows three attempts.
TEST_F(takeover, AFailedRunBeforeTheConfigurationIsKnownDoesNotFailTheJob)
{
    const job_spec spec = startAndKillOwner(2, 1s);
    failRuns();
    const auto queues = std::exchange(world.queues, {});
    world.takeOver(second);
    world.run(1500ms);
    EXPECT_EQ(status(second, spec), job_status::running);
    second.core.setQueues(world.now, queues);
    world.run(4s);
    EXPECT_EQ(status(second, spec), job_status::completed);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

TEST_F(takeover, AttemptsUsedUpBeforeTheConfigurationIsKnownFailTheJobLater)
{
    const job_spec spec = startAndKillOwner(1, 1s);
    failRuns();
    auto queues = std::exchange(world.queues, {});
    queues[0].attemptLimit = 1;
    world.takeOver(second);
    world.run(1500ms);
    second.core.setQueues(world.now, queues);
    world.run(3s);
    EXPECT_EQ(status(second, spec), job_status::failed);
    EXPECT_EQ(world.starts.at({spec.name, 0, 0, 0}), 1);
}

// A new owner considered the lease that the former owner had granted to an adopted run expired
// before it had renewed the lease itself.
TEST_F(takeover, DoesNotConsiderAnInheritedLeaseExpired)
{
    const job_spec spec = startAndKillOwner(8, 20s);
    world.run(1s);
    world.takeOver(second);
    world.run(1s);
    EXPECT_EQ(std::count(second.events.begin(), second.events.end(), "runs_lost"), 0);
    EXPECT_EQ(totalStarts(), 8);
}

// After the takeover, a worker reports a completion that the former owner had not made durable,
// while another worker, which has not responded yet, executes a later run of the same task.
TEST_F(takeover, WaitsForAllWorkersBeforeItRestartsATask)
{
    world.runTime = [](const task_name &) { return 5s; };
    world.shouldFail = [](const task_name &, int run) { return run == 1; };
    const job_spec spec = plainJob("a", 1);
    submit(first, spec);
    world.run(20ms);
    first.isStoreUnreachable = true;
    world.run(500ms);
    ASSERT_EQ(world.starts.at({spec.name, 0, 0, 0}), 2);
    kill(first);
    for (const auto &[id, worker] : world.workers) {
        if (!worker.runs.empty())
            second.unreachableWorkers.insert(id);
    }
    world.takeOver(second);
    world.run(2s);
    EXPECT_EQ(world.starts.at({spec.name, 0, 0, 0}), 2);
    second.unreachableWorkers.clear();
    world.run(8s);
    EXPECT_EQ(world.starts.at({spec.name, 0, 0, 0}), 2);
    EXPECT_EQ(status(second, spec), job_status::completed);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// Two workers report failed runs of the same task to a new owner, the later run first.
TEST_F(takeover, CountsFailuresOfTheFormerOwnerInAnyOrder)
{
    world.shouldFail = [](const task_name &, int) { return true; };
    const job_spec spec = plainJob("a", 1);
    submit(first, spec);
    world.run(20ms);
    first.isStoreUnreachable = true;
    world.run(80ms);
    first.core.onWorkerGone(world.now, {"w0"});
    world.run(900ms);
    kill(first);
    world.takeOver(second);
    world.run(5s);
    EXPECT_EQ(world.failedRuns.at({spec.name, 0, 0, 0}).size(), 3u);
    EXPECT_EQ(status(second, spec), job_status::failed);
}

// A former owner without a connection to the store considers the leases of workers that it cannot
// reach expired, while the new owner has renewed them.
TEST_F(takeover, APartitionedOwnerDoesNotRestartTasksOfUnreachableWorkers)
{
    world.runTime = [](const task_name &) { return 12s; };
    const job_spec spec = plainJob("a", 8);
    submit(first, spec);
    world.run(500ms);
    first.isStoreUnreachable = true;
    first.unreachableWorkers = {{"w1"}, {"w2"}};
    second.unreachableWorkers = {{"w0"}};
    world.run(2500ms);
    world.takeOver(second);
    world.run(30s);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// Stray runs that are being stopped still use resources, although no task of the owner accounts for
// them.
TEST_F(takeover, AccountsForResourcesOfStrayRuns)
{
    const job_spec cancelled = startAndKillOwner(12, 30s);
    world.run(2s);
    // The cancellation became durable, but the stop commands were lost with the owner.
    job_record record;
    record.spec = cancelled;
    record.isCancelled = true;
    record.finishedUnixMs = world.unixMs();
    world.store.erase("cw/job/a");
    world.store["cw/run/a"] = encodeProgress(record);
    world.takeOver(second);
    const job_spec next = plainJob("b", 12);
    submit(second, next);
    world.run(2s);
    EXPECT_EQ(world.violations, std::vector<std::string>());
    EXPECT_EQ(world.starts.count({next.name, 0, 0, 0}), 1u);
}

// A new owner had to learn again which images interfere, and slowed down serving tasks meanwhile.
TEST_F(takeover, InheritsTheInterferenceModel)
{
    world.runTime = [](const task_name &) { return 30s; };
    job_spec serving = plainJob("s", 3);
    serving.steps[0].isContinuous = true;
    serving.steps[0].image = "serving";
    serving.steps[0].latencyTargetMs = 100;
    serving.steps[0].maxPerWorker = 1;
    job_spec bestEffort = plainJob("f", 3);
    bestEffort.steps[0].isBestEffort = true;
    bestEffort.steps[0].image = "heavy";
    bestEffort.steps[0].size.milliCores = 400;
    for (const job_spec *spec : {&serving, &bestEffort})
        submit(first, *spec);
    world.run(1s);
    for (auto &[id, worker] : world.workers) {
        for (const auto &[task, run] : worker.runs)
            worker.measurements[task] = 500;
    }
    world.run(4s);
    submit(first, plainJob("x", 1));
    world.run(1s);
    ASSERT_EQ(world.store.count("cw/interference"), 1u);
    EXPECT_NE(world.store.at("cw/interference").find("heavy serving"), std::string::npos);
}

TEST_F(takeover, RemembersEndedJobs)
{
    const job_spec spec = plainJob("a", 2);
    submit(first, spec);
    world.run(3s);
    kill(first);
    world.takeOver(second);
    world.run(1s);
    EXPECT_EQ(status(second, spec), job_status::completed);
    const call_token again = second.call(job_call_kind::submit, spec.name, &spec);
    world.run(3s);
    EXPECT_EQ(second.replies.at(again).outcome, job_outcome::accepted);
    EXPECT_EQ(totalStarts(), 2);
}

// An owner without a connection to the store acknowledged the completions of a job's tasks because
// the job was cancelled. The cancellation was lost with the owner, and the next owner ran the tasks
// again.
TEST_F(takeover, DoesNotRepeatTasksWhoseCancellationWasLost)
{
    const job_spec spec = plainJob("a", 8);
    submit(first, spec);
    world.run(500ms);
    first.isStoreUnreachable = true;
    for (auto &[id, worker] : world.workers) {
        for (auto &[task, run] : worker.runs)
            run.endsAt = world.now;
    }
    first.call(job_call_kind::cancel, spec.name);
    world.run(3s);
    ASSERT_EQ(world.done.size(), 8u);
    kill(first);
    world.takeOver(second);
    world.run(12s);
    EXPECT_EQ(status(second, spec), job_status::completed);
    EXPECT_EQ(totalStarts(), 8);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

TEST_F(takeover, ADeposedOwnerIsFencedByTheWorkers)
{
    const job_spec spec = plainJob("a", 2);
    first.isStoreUnreachable = true;
    world.takeOver(second);
    submit(second, spec);
    // Workers without runs are polled every ten seconds.
    world.run(12s);
    EXPECT_FALSE(first.core.isOwner());
    EXPECT_EQ(status(second, spec), job_status::completed);
}
