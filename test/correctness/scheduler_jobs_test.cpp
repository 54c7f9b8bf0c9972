// Guards against jobs that are lost, reported as ended too early, or placed against the
// requirements in their specification.

#include "correctness/scheduler_world.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

struct job_scheduling : testing::Test
{
    job_scheduling()
        : owner(world.addHost("host-1"))
    {
        for (int i = 0; i < 4; ++i)
            world.addWorker(fmt::format("w{}", i), i < 2 ? "rack-1" : "rack-2", {8000, 8000, 1});
    }

    void begin()
    {
        world.takeOver(owner);
        world.run(200ms);
    }

    job_status status(const std::string &name)
    {
        const call_token token = owner.call(job_call_kind::query, {name});
        const job_reply &reply = owner.replies.at(token);
        EXPECT_EQ(reply.outcome, job_outcome::found);
        return reply.status;
    }

    scheduler_world world;
    fake_host &owner;
};

} // namespace

TEST_F(job_scheduling, AcceptsJobsOnlyOnceTheyAreDurable)
{
    begin();
    world.isStoreDown = true;
    const job_spec spec = plainJob("a", 2);
    const call_token token = owner.call(job_call_kind::submit, spec.name, &spec);
    world.run(300ms);
    EXPECT_EQ(owner.replies.count(token), 0u);
    EXPECT_TRUE(world.starts.empty());
    world.isStoreDown = false;
    world.run(300ms);
    EXPECT_EQ(owner.replies.at(token).outcome, job_outcome::accepted);
    world.run(2s);
    EXPECT_EQ(status("a"), job_status::completed);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// With twice as much work as capacity, the oldest job went first. It missed its deadline by a short
// time, and so did each job after it.
TEST_F(job_scheduling, PrefersJobsThatCanStillMeetTheirDeadlineUnderOverload)
{
    begin();
    // 32 tasks of one second fit at once; 16 jobs of 4 tasks arrive each second.
    constexpr int jobs = 320;
    std::map<std::string, instant> submittedAt;
    std::map<std::string, instant> completed;
    for (int i = 0; i < jobs; ++i) {
        const job_spec spec = plainJob(fmt::format("j{}", i), 4);
        owner.call(job_call_kind::submit, spec.name, &spec);
        submittedAt[spec.name.value] = world.now;
        world.run(62ms);
        for (const auto &[name, at] : submittedAt) {
            if (completed.count(name) == 0 && status(name) == job_status::completed)
                completed[name] = world.now;
        }
    }
    int inTime = 0;
    for (const auto &[name, at] : completed)
        inTime += at - submittedAt[name] <= 2s ? 1 : 0;
    // The capacity suffices for half of the jobs. Up to a fifth of it may be lost to jobs that are
    // given up too late.
    EXPECT_GE(inTime, jobs * 2 / 5);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// Waiting continuous tasks took all capacity that became free, and short jobs stayed late for good.
TEST_F(job_scheduling, StartsShortJobsThatAreInTimeBeforeContinuousTasks)
{
    begin();
    job_spec continuous = plainJob("lasting", 40);
    continuous.steps[0].isContinuous = true;
    world.runTime = [](const task_name &task) { return task.job.value == "lasting" ? 4s : 1s; };
    owner.call(job_call_kind::submit, continuous.name, &continuous);
    world.run(3500ms);
    const job_spec spec = plainJob("short", 16);
    owner.call(job_call_kind::submit, spec.name, &spec);
    // The first runs of the continuous tasks end after half a second, while eight more tasks wait.
    world.run(1900ms);
    EXPECT_EQ(status("short"), job_status::completed);
    world.run(2s);
    EXPECT_EQ(world.runningTasks(), 32u);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

TEST_F(job_scheduling, RepeatedSubmissionsAreOneJob)
{
    begin();
    const job_spec spec = plainJob("a", 2);
    const call_token first = owner.call(job_call_kind::submit, spec.name, &spec);
    const call_token second = owner.call(job_call_kind::submit, spec.name, &spec);
    world.run(3s);
    const call_token third = owner.call(job_call_kind::submit, spec.name, &spec);
    world.run(3s);
    for (call_token token : {first, second, third})
        EXPECT_EQ(owner.replies.at(token).outcome, job_outcome::accepted);
    EXPECT_EQ(world.starts.size(), 2u);
    for (const auto &[task, starts] : world.starts)
        EXPECT_EQ(starts, 1);
}

TEST_F(job_scheduling, StepsWaitForTheStepsTheyDependOn)
{
    begin();
    job_spec spec = plainJob("a", 3);
    spec.steps.push_back(spec.steps[0]);
    spec.steps[1].after = {0};
    owner.call(job_call_kind::submit, spec.name, &spec);
    world.run(1500ms);
    EXPECT_EQ(status("a"), job_status::running);
    world.run(2s);
    EXPECT_EQ(status("a"), job_status::completed);
    EXPECT_EQ(world.starts.size(), 6u);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

TEST_F(job_scheduling, AJobFailsOnceItsAttemptsAreUsedUp)
{
    begin();
    world.shouldFail = [](const task_name &task, int) { return task.index == 1; };
    const job_spec spec = plainJob("a", 3);
    owner.call(job_call_kind::submit, spec.name, &spec);
    world.run(3s);
    EXPECT_EQ(status("a"), job_status::failed);
    EXPECT_EQ(world.starts.at({spec.name, 0, 0, 1}), 3);
}

TEST_F(job_scheduling, ContinuousTasksRestartAfterEveryCompletionUntilCancelled)
{
    begin();
    world.shouldFail = [](const task_name &, int run) { return run < 5; };
    job_spec spec = plainJob("a", 1);
    spec.steps[0].isContinuous = true;
    owner.call(job_call_kind::submit, spec.name, &spec);
    world.run(4s);
    EXPECT_GE(world.starts.at({spec.name, 0, 0, 0}), 6);
    EXPECT_EQ(status("a"), job_status::running);
    const call_token token = owner.call(job_call_kind::cancel, spec.name);
    world.run(1s);
    EXPECT_EQ(owner.replies.at(token).outcome, job_outcome::cancelled);
    EXPECT_EQ(status("a"), job_status::cancelled);
    for (const auto &[id, worker] : world.workers)
        EXPECT_TRUE(worker.runs.empty());
}

TEST_F(job_scheduling, RespectsLabelsLimitsPerWorkerAndRacks)
{
    world.workers.at({"w3"}).info.labels.push_back("fast");
    begin();
    job_spec labelled = plainJob("a", 2);
    labelled.steps[0].requiredLabel = "fast";
    job_spec spread = plainJob("b", 4);
    spread.steps[0].maxPerWorker = 1;
    job_spec near = plainJob("c", 2);
    near.steps[0].dataRack.value = "rack-2";
    for (const job_spec *spec : {&labelled, &spread, &near})
        owner.call(job_call_kind::submit, spec->name, spec);
    world.run(300ms);
    for (const auto &[id, worker] : world.workers) {
        int spreadHere = 0;
        for (const auto &[task, run] : worker.runs) {
            if (task.job == labelled.name) {
                EXPECT_EQ(id.value, "w3");
            }
            if (task.job == near.name) {
                EXPECT_EQ(worker.info.rack.value, "rack-2");
            }
            spreadHere += task.job == spread.name ? 1 : 0;
        }
        EXPECT_EQ(spreadHere, 1);
    }
}

TEST_F(job_scheduling, UrgentQueuesGoFirstWhenCapacityIsScarce)
{
    queue_policy urgent = world.queues[0];
    urgent.queue.value = "checks";
    world.queues[0].priority = 2;
    world.queues.push_back(urgent);
    begin();
    const job_spec occupying = plainJob("a", 32);
    owner.call(job_call_kind::submit, occupying.name, &occupying);
    world.run(200ms);
    const job_spec lowPriority = plainJob("b", 32);
    job_spec check = plainJob("c", 4);
    check.queue.value = "checks";
    owner.call(job_call_kind::submit, lowPriority.name, &lowPriority);
    owner.call(job_call_kind::submit, check.name, &check);
    world.run(2100ms);
    EXPECT_EQ(status("c"), job_status::completed);
    EXPECT_EQ(status("b"), job_status::running);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

TEST_F(job_scheduling, StartsNothingOnDrainingWorkers)
{
    begin();
    for (const char *id : {"w0", "w1", "w2"}) {
        world.workers.at({id}).info.isDraining = true;
        owner.core.onWorker(world.now, world.workers.at({id}).info);
    }
    const job_spec spec = plainJob("a", 12);
    owner.call(job_call_kind::submit, spec.name, &spec);
    world.run(300ms);
    EXPECT_EQ(world.workers.at({"w3"}).runs.size(), 8u);
    world.run(3s);
    EXPECT_EQ(status("a"), job_status::completed);
    for (const char *id : {"w0", "w1", "w2"})
        EXPECT_EQ(world.workers.at({id}).lastCompletion, 0);
}

TEST_F(job_scheduling, OccurrencesStartWhenDueAndMayOverlap)
{
    begin();
    job_spec spec = plainJob("a", 1);
    spec.scheduledOccurrences = 3;
    spec.firstDueUnixMs = world.unixMs() + 1000;
    spec.periodMs = 400;
    owner.call(job_call_kind::submit, spec.name, &spec);
    world.run(850ms);
    EXPECT_TRUE(world.starts.empty());
    world.run(700ms);
    EXPECT_EQ(world.starts.size(), 2u);
    world.run(3s);
    EXPECT_EQ(world.starts.size(), 3u);
    EXPECT_EQ(status("a"), job_status::completed);
}

TEST_F(job_scheduling, CountsJobsWithoutAStartedTask)
{
    begin();
    const job_spec occupying = plainJob("a", 32);
    owner.call(job_call_kind::submit, occupying.name, &occupying);
    world.run(200ms);
    const job_spec second = plainJob("b", 1);
    owner.call(job_call_kind::submit, second.name, &second);
    world.run(200ms);
    const call_token token = owner.call(job_call_kind::count_waiting, {});
    EXPECT_EQ(owner.replies.at(token).waitingJobs, 1);
}

// Guards the set of jobs that have not started: counting waiting jobs permanently removes those
// that it finds started or cancelled.
TEST_F(job_scheduling, CountsWaitingJobsAfterStartsCancellationsAndATakeover)
{
    begin();
    const auto waiting = [this](fake_host &asked) {
        return asked.replies.at(asked.call(job_call_kind::count_waiting, {})).waitingJobs;
    };
    const job_spec occupying = plainJob("a", 32);
    owner.call(job_call_kind::submit, occupying.name, &occupying);
    world.run(200ms);
    for (const char *name : {"b", "c", "d"}) {
        const job_spec spec = plainJob(name, 1);
        owner.call(job_call_kind::submit, spec.name, &spec);
    }
    world.run(200ms);
    EXPECT_EQ(waiting(owner), 3);
    owner.call(job_call_kind::cancel, {"c"});
    EXPECT_EQ(waiting(owner), 2);
    world.run(100ms);
    owner.isDead = true;
    fake_host &successor = world.addHost("host-2");
    world.takeOver(successor);
    world.run(100ms);
    EXPECT_EQ(waiting(successor), 2);
    world.run(10s);
    EXPECT_EQ(waiting(successor), 0);
}

TEST_F(job_scheduling, RefusesJobsAtOnceWhileTheStoreDoesNotAnswer)
{
    begin();
    world.isStoreDown = true;
    const job_spec sent = plainJob("a", 1);
    const job_spec unsent = plainJob("b", 1);
    const job_spec late = plainJob("c", 1);
    const call_token first = owner.call(job_call_kind::submit, sent.name, &sent);
    const call_token second = owner.call(job_call_kind::submit, unsent.name, &unsent);
    world.run(50ms);
    owner.core.setStoreAvailable(world.now, false);
    const call_token third = owner.call(job_call_kind::submit, late.name, &late);
    EXPECT_EQ(owner.replies.count(first), 0u); // The commit in flight may still succeed.
    for (call_token token : {second, third}) {
        EXPECT_EQ(owner.replies.at(token).outcome, job_outcome::refused);
        EXPECT_GT(owner.replies.at(token).retryAfterMs, 0);
    }
    world.isStoreDown = false;
    owner.core.setStoreAvailable(world.now, true);
    world.run(3s);
    EXPECT_EQ(owner.replies.at(first).outcome, job_outcome::accepted);
    EXPECT_EQ(world.starts.count({unsent.name, 0, 0, 0}), 0u);
    const call_token again = owner.call(job_call_kind::submit, unsent.name, &unsent);
    world.run(3s);
    EXPECT_EQ(owner.replies.at(again).outcome, job_outcome::accepted);
}

// A submission waited 2.6 s behind progress records of other jobs, and each batch was sent 60 ms
// after the previous one, regardless of what was waiting.
TEST_F(job_scheduling, CommitsSubmissionsBeforeProgressOfOtherJobs)
{
    for (int i = 0; i < 8; ++i)
        world.addWorker(fmt::format("more-{}", i), "rack-1", {8000, 8000, 1});
    begin();
    for (int i = 0; i < 96; ++i) {
        const job_spec spec = plainJob(fmt::format("early-{}", i), 1);
        owner.call(job_call_kind::submit, spec.name, &spec);
    }
    world.run(700ms);
    world.isStoreDown = true;
    world.run(1500ms); // All jobs end, and their progress records wait for the store.
    const job_spec spec = plainJob("late", 1);
    const call_token token = owner.call(job_call_kind::submit, spec.name, &spec);
    const std::int64_t commitsBefore = owner.core.counters().commits;
    world.isStoreDown = false;
    while (owner.replies.count(token) == 0)
        world.run(1ms);
    EXPECT_EQ(owner.replies.at(token).outcome, job_outcome::accepted);
    // The batch with the submission, and the next one, which follows immediately.
    EXPECT_LE(owner.core.counters().commits, commitsBefore + 2);
    // The batch with the submission contains progress records as well.
    EXPECT_LT(std::count_if(world.store.begin(), world.store.end(),
                            [](const auto &entry) {
                                return entry.first.find("job/early-") != std::string::npos;
                            }),
              96);
    const instant answered = world.now;
    while (owner.core.counters().jobsUncommitted > 0 && world.now < answered + 1s)
        world.run(1ms);
    EXPECT_LT(world.now, answered + 200ms);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// When the store refused the commit of a new job, the owner kept the job without a durable record,
// and so it did with each retry: no caller got a reply until the store was available again.
TEST_F(job_scheduling, RefusesJobsWhoseCommitTheStoreRefuses)
{
    begin();
    const job_spec spec = plainJob("a", 1);
    world.isStoreRefusing = true;
    for (int attempt = 0; attempt < 2; ++attempt) {
        const call_token token = owner.call(job_call_kind::submit, spec.name, &spec);
        world.run(50ms);
        ASSERT_EQ(owner.replies.count(token), 1U);
        EXPECT_EQ(owner.replies.at(token).outcome, job_outcome::refused);
    }
    world.isStoreRefusing = false;
    owner.core.setStoreAvailable(world.now, true);
    world.run(3s);
    EXPECT_EQ(world.starts.size(), 0U);
    const call_token again = owner.call(job_call_kind::submit, spec.name, &spec);
    world.run(3s);
    EXPECT_EQ(owner.replies.at(again).outcome, job_outcome::accepted);
    EXPECT_EQ(world.starts.size(), 1U);
}

// Completions in a refused batch are written with the next one, and acknowledged only then.
TEST_F(job_scheduling, CompletionsOfARefusedCommitAreWrittenLater)
{
    begin();
    const job_spec spec = plainJob("a", 3);
    owner.call(job_call_kind::submit, spec.name, &spec);
    world.run(500ms);
    world.isStoreRefusing = true;
    world.run(2s);
    EXPECT_TRUE(world.doneAcknowledged.empty());
    world.isStoreRefusing = false;
    owner.core.setStoreAvailable(world.now, true);
    world.run(2s);
    EXPECT_EQ(world.doneAcknowledged.size(), 3U);
    const call_token token = owner.call(job_call_kind::query, spec.name);
    EXPECT_EQ(owner.replies.at(token).status, job_status::completed);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// A worker with completions that could not be written was no longer polled. The leases of its other
// runs expired in a store outage that was shorter than the owner's authority.
TEST_F(job_scheduling, RunsKeepTheirLeaseWhileACompletionOnTheirWorkerIsNotDurable)
{
    begin();
    const job_spec spec = plainJob("a", 4);
    world.runTime = [](const task_name &task) { return task.index == 0 ? 1s : 20s; };
    owner.call(job_call_kind::submit, spec.name, &spec);
    world.run(500ms);
    world.isStoreRefusing = true;
    world.run(12s);
    for (const auto &[task, starts] : world.starts)
        EXPECT_EQ(starts, 1) << toString(task);
}

TEST_F(job_scheduling, RefusesJobsWithUnsupportedFeatures)
{
    begin();
    job_spec spec = plainJob("a", 2);
    spec.steps[0].isGang = true;
    const call_token token = owner.call(job_call_kind::submit, spec.name, &spec);
    EXPECT_EQ(owner.replies.at(token).outcome, job_outcome::refused);
    EXPECT_EQ(owner.replies.at(token).retryAfterMs, 0);
    EXPECT_NE(owner.replies.at(token).reason.find("gang"), std::string::npos);
}
