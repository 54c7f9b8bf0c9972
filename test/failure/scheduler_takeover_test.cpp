// Guards against runs that are doubled or lost when the ownership of the jobs changes. Each test
// replays one fault that a site has shown.

#include "correctness/scheduler_world.h"

#include <gtest/gtest.h>
#include <utility>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

struct takeover : testing::Test
{
    takeover()
        : first(world.addOwner("host-1"))
        , second(world.addOwner("host-2"))
    {
        for (int i = 0; i < 3; ++i)
            world.addWorker(fmt::format("w{}", i), "rack-1", {4000, 8000, 0});
        world.takeOver(first);
        world.run(200ms);
    }

    void submit(fake_owner &owner, const job_spec &spec)
    {
        owner.call(job_call_kind::submit, spec.name, &spec);
    }

    void kill(fake_owner &owner) { owner.isDead = true; }

    // Has the first owner start a job, and kills it while the tasks run.
    job_spec startAndKillOwner(int tasks, duration runTime)
    {
        world.runTime = [runTime](const task_name &) { return runTime; };
        const job_spec spec = plainJob("a", tasks);
        submit(first, spec);
        world.run(500ms);
        kill(first);
        return spec;
    }

    // Lets all present runs end with a failure.
    void failRuns()
    {
        for (auto &[id, worker] : world.workers) {
            for (auto &[task, run] : worker.runs)
                run.willFail = true;
        }
    }

    int startsOfAll() const
    {
        int sum = 0;
        for (const auto &[task, starts] : world.starts)
            sum += starts;
        return sum;
    }

    job_status status(fake_owner &owner, const job_spec &spec)
    {
        return owner.replies.at(owner.call(job_call_kind::query, spec.name)).status;
    }

    scheduler_world world;
    fake_owner &first;
    fake_owner &second;
};

} // namespace

TEST_F(takeover, FindsWhatRunsAndStartsNothingTwice)
{
    const job_spec spec = startAndKillOwner(8, 3s);
    world.run(1500ms);
    world.takeOver(second);
    world.run(6s);
    EXPECT_EQ(startsOfAll(), 8);
    EXPECT_EQ(status(second, spec), job_status::completed);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// A store outage together with a cut data centre delayed the takeover until the leases of most
// workers had lapsed: all lasting tasks ended and started anew.
TEST_F(takeover, FindsWhatRunsNearlyFiveSecondsAfterTheOwnerWasLost)
{
    const job_spec spec = startAndKillOwner(8, 20s);
    world.run(4800ms);
    world.takeOver(second);
    world.run(1s);
    EXPECT_EQ(startsOfAll(), 8);
    EXPECT_EQ(world.runningTasks(), 8U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// An owner that was elected right after its start had not read the configuration yet: it took one
// failed run for the end of a job that may fail three times.
TEST_F(takeover, AFailedRunBeforeTheConfigurationIsKnownDoesNotEndTheJob)
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

TEST_F(takeover, AttemptsUsedUpBeforeTheConfigurationIsKnownEndTheJobThen)
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

// The lease that an adopted run has from the former owner was taken for lapsed before the new owner
// had renewed it.
TEST_F(takeover, DoesNotTakeAnInheritedLeaseForLapsed)
{
    const job_spec spec = startAndKillOwner(8, 20s);
    world.run(1s);
    world.takeOver(second);
    world.run(1s);
    EXPECT_EQ(std::count(second.events.begin(), second.events.end(), "runs_lost"), 0);
    EXPECT_EQ(startsOfAll(), 8);
}

// An end that the former owner had not made durable arrives after the takeover, while a later run
// of the task is on a worker that has not answered yet.
TEST_F(takeover, WaitsForAllWorkersBeforeATaskStartsAgain)
{
    world.runTime = [](const task_name &) { return 5s; };
    world.fails = [](const task_name &, int run) { return run == 1; };
    const job_spec spec = plainJob("a", 1);
    submit(first, spec);
    world.run(20ms);
    first.isCutFromStore = true;
    world.run(500ms);
    ASSERT_EQ(world.starts.at({spec.name, 0, 0, 0}), 2);
    kill(first);
    for (const auto &[id, worker] : world.workers) {
        if (!worker.runs.empty())
            second.cutFrom.insert(id);
    }
    world.takeOver(second);
    world.run(2s);
    EXPECT_EQ(world.starts.at({spec.name, 0, 0, 0}), 2);
    second.cutFrom.clear();
    world.run(8s);
    EXPECT_EQ(world.starts.at({spec.name, 0, 0, 0}), 2);
    EXPECT_EQ(status(second, spec), job_status::completed);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// Two failed ends of one task, on two workers, are listed in the wrong order to a new owner.
TEST_F(takeover, CountsFailuresOfTheFormerOwnerInAnyOrder)
{
    world.fails = [](const task_name &, int) { return true; };
    const job_spec spec = plainJob("a", 1);
    submit(first, spec);
    world.run(20ms);
    first.isCutFromStore = true;
    world.run(80ms);
    first.core.onWorkerGone(world.now, {"w0"});
    world.run(900ms);
    kill(first);
    world.takeOver(second);
    world.run(5s);
    EXPECT_EQ(world.failedRuns.at({spec.name, 0, 0, 0}).size(), 3u);
    EXPECT_EQ(status(second, spec), job_status::failed);
}

// An owner that is cut off takes the workers that it cannot reach for lapsed, while a new owner has
// renewed their leases.
TEST_F(takeover, AnOwnerThatIsCutOffDoesNotRestartWhatItCannotSee)
{
    world.runTime = [](const task_name &) { return 12s; };
    const job_spec spec = plainJob("a", 8);
    submit(first, spec);
    world.run(500ms);
    first.isCutFromStore = true;
    first.cutFrom = {{"w1"}, {"w2"}};
    second.cutFrom = {{"w0"}};
    world.run(2500ms);
    world.takeOver(second);
    world.run(30s);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// Runs that are being stopped as strays take room that no task of ours accounts for.
TEST_F(takeover, CountsRoomOfRunsThatAreNotCurrent)
{
    const job_spec cancelled = startAndKillOwner(12, 30s);
    world.run(2s);
    // The cancellation became durable, the stops were lost with the owner.
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

// A new owner that had to learn anew which images bear each other slowed serving tasks down again.
TEST_F(takeover, InheritsWhatWasLearnedAboutInterference)
{
    world.runTime = [](const task_name &) { return 30s; };
    job_spec serving = plainJob("s", 3);
    serving.steps[0].isContinuous = true;
    serving.steps[0].image = "serving";
    serving.steps[0].latencyTargetMs = 100;
    serving.steps[0].maxPerWorker = 1;
    job_spec filling = plainJob("f", 3);
    filling.steps[0].isBestEffort = true;
    filling.steps[0].image = "heavy";
    filling.steps[0].size.milliCores = 400;
    for (const job_spec *spec : {&serving, &filling})
        submit(first, *spec);
    world.run(1s);
    for (auto &[id, worker] : world.workers) {
        for (const auto &[task, run] : worker.runs)
            worker.figures[task] = 500;
    }
    world.run(4s);
    submit(first, plainJob("x", 1));
    world.run(1s);
    ASSERT_EQ(world.store.count("cw/interference"), 1u);
    EXPECT_NE(world.store.at("cw/interference").find("heavy serving"), std::string::npos);
}

TEST_F(takeover, KnowsEndedJobs)
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
    EXPECT_EQ(startsOfAll(), 2);
}

// An owner without the store had the ends of a job's tasks forgotten since the job was cancelled.
// The cancellation was lost with the owner, and the next one ran the tasks again.
TEST_F(takeover, DoesNotRunTasksAgainWhoseCancellationWasLost)
{
    const job_spec spec = plainJob("a", 8);
    submit(first, spec);
    world.run(500ms);
    first.isCutFromStore = true;
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
    EXPECT_EQ(startsOfAll(), 8);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

TEST_F(takeover, ADeposedOwnerIsFencedByTheWorkers)
{
    const job_spec spec = plainJob("a", 2);
    first.isCutFromStore = true;
    world.takeOver(second);
    submit(second, spec);
    // Without runs, workers are looked at every ten seconds.
    world.run(12s);
    EXPECT_FALSE(first.core.isOwner());
    EXPECT_EQ(status(second, spec), job_status::completed);
}
