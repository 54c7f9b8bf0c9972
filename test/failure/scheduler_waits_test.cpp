// Guards against best-effort work that waits without a bound although its first run has begun.

#include "correctness/scheduler_interfering_burst.h"

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

/// The platform counts a job as lost that could run and has had no run for this time.
constexpr duration idleLimit = 3s;

/// Serving tasks with this latency without load, as a fraction of the target, tolerate "light"
/// tasks but no "heavy" one, even on a worker without other tasks.
constexpr double sensitiveRatio = 0.4;

/// A site with a serving task on each of six workers.
struct serving_site
{
    serving_site()
        : load(6, sensitiveRatio)
    {
        load.coefficients["light"] = 0.6;
        load.world.runTime = [this](const task_name &task) {
            const auto found = runTimes.find(task.job.value + "/" + std::to_string(task.step));
            if (found != runTimes.end())
                return found->second;
            return task.job.value == "s" ? duration(1000s) : duration(2s);
        };
    }

    static job_spec jobOf(const std::string &name, const std::string &image, int tasks,
                          int expectedRunMs)
    {
        job_spec job = plainJob(name, tasks);
        job.steps[0].isBestEffort = true;
        job.steps[0].image = image;
        job.steps[0].expectedRunMs = expectedRunMs;
        return job;
    }

    void submit(const job_spec &job) { load.owner.call(job_call_kind::submit, job.name, &job); }

    // Every 200 ms, four tasks that are in time are submitted.
    void runOverloaded(duration time)
    {
        for (duration passed = 0ms; passed < time; passed += 100ms) {
            if (steps++ % 2 == 0)
                submit(jobOf(fmt::format("light-{}", steps), "light", 4, 20000));
            load.step();
        }
    }

    // Starts the overload, and yielding runs of six jobs of an image that no worker tolerates.
    void runStarvedJobs()
    {
        runOverloaded(5s);
        for (int i = 0; i < 6; ++i)
            submit(jobOf(fmt::format("h{}", i), "heavy", 4, 10));
        runOverloaded(10s);
    }

    void run(duration time)
    {
        for (duration passed = 0ms; passed < time; passed += 100ms)
            load.step();
    }

    // Returns the worker that runs a task of the job, or null.
    fake_worker *workerOf(const std::string &job)
    {
        for (auto &[id, worker] : load.world.workers) {
            for (const auto &[task, run] : worker.runs) {
                if (task.job.value == job)
                    return &worker;
            }
        }
        return nullptr;
    }

    // Returns true if the last run of the task was started as one that yields.
    bool hasYieldingRun(const task_name &task) const
    {
        const std::string field = fmt::format(" task={} ", toString(task));
        const std::vector<std::string> &starts = load.owner.starts;
        const auto last = std::find_if(starts.rbegin(), starts.rend(), [&](const auto &fields) {
            return fields.find(field) != std::string::npos;
        });
        return last != starts.rend() && last->find(" yields=true") != std::string::npos;
    }

    std::map<std::string, duration> runTimes; ///< Other than the default, by job and step.
    interfering_burst load;
    int steps = 0;
};

} // namespace

// The second step of a job becomes ready long after the traffic has ended.
TEST(Waits, AJobInTimeIsNotIdleForLongBetweenItsSteps)
{
    serving_site site;
    site.runStarvedJobs();
    job_spec job = serving_site::jobOf("a", "light", 1, 30000);
    job.steps.push_back(serving_site::jobOf("a", "heavy", 1, 30000).steps[0]);
    job.steps[1].after = {0};
    site.runTimes["a/0"] = 40s;
    site.submit(job);
    site.runOverloaded(1s);
    site.run(30s);
    ASSERT_NE(site.workerOf("a"), nullptr);
    duration idle = duration::zero();
    duration longest = duration::zero();
    for (int i = 0; i < 250; ++i) {
        site.run(100ms);
        const bool isDone = site.load.world.done.count({job.name, 0, 1, 0}) != 0;
        idle = site.workerOf("a") != nullptr || isDone ? duration::zero() : idle + 100ms;
        longest = std::max(longest, idle);
    }
    EXPECT_EQ(site.load.world.done.count({job.name, 0, 0, 0}), 1U);
    EXPECT_LT(toMs(longest), toMs(idleLimit));
}

// A serving task that is over its target by its own load paused a yielding run beside it for good,
// although another worker had nothing to do.
TEST(Waits, AYieldingRunIsNotPausedForGoodWhileAnotherWorkerIsIdle)
{
    serving_site site;
    scheduler_world &world = site.load.world;
    site.runStarvedJobs();
    site.runTimes["a/0"] = 1000s;
    site.submit(serving_site::jobOf("a", "heavy", 1, 10));
    site.runOverloaded(6s);
    fake_worker *const first = site.workerOf("a");
    ASSERT_NE(first, nullptr);
    const task_name task{{"a"}, 0, 0, 0};
    ASSERT_TRUE(site.hasYieldingRun(task));
    ASSERT_LE(first->pacePercents.at(task), 10);
    world.addWorker("w6", "rack-1", {10000, 64000, 0});
    const instant end = world.now + 20s;
    bool isPaused = true;
    while (world.now < end) {
        for (auto &[id, worker] : world.workers) {
            for (const auto &[name, run] : worker.runs) {
                if (name.job.value == "s")
                    worker.measurements[name] = &worker == first ? 150 : 40;
            }
        }
        world.run(100ms);
        const fake_worker *const worker = site.workerOf("a");
        isPaused = worker == nullptr || worker->pacePercents.count(task) == 0
            ? worker == nullptr
            : worker->pacePercents.at(task) == 0;
    }
    EXPECT_FALSE(isPaused);
}

// A refused start counted as a run, so that the wait of its job began anew.
TEST(Waits, ARefusedStartDoesNotProlongTheWaitOfItsJob)
{
    serving_site site;
    scheduler_world &world = site.load.world;
    site.runStarvedJobs();
    const task_name task{{"a"}, 0, 0, 0};
    for (auto &[id, worker] : world.workers)
        worker.refusedUpTo[task] = 1;
    site.submit(serving_site::jobOf("a", "heavy", 1, 10));
    site.runOverloaded(3s);
    EXPECT_GE(world.starts[task], 1);
}

// Only the worker of the yielding run comes to tolerate it at full pace.
TEST(Waits, AYieldingRunGetsItsFullPaceWhenItsWorkerToleratesIt)
{
    serving_site site;
    scheduler_world &world = site.load.world;
    site.runStarvedJobs();
    site.runTimes["a/0"] = 1000s;
    site.submit(serving_site::jobOf("a", "heavy", 1, 10));
    site.runOverloaded(6s);
    const fake_worker *const own = site.workerOf("a");
    ASSERT_NE(own, nullptr);
    const task_name task{{"a"}, 0, 0, 0};
    ASSERT_TRUE(site.hasYieldingRun(task));
    ASSERT_LE(own->pacePercents.at(task), 10);
    for (const instant end = world.now + 60s; world.now < end;) {
        for (auto &[id, worker] : world.workers) {
            for (const auto &[name, run] : worker.runs) {
                if (name.job.value == "s")
                    worker.measurements[name] = &worker == own ? 5 : 95;
            }
        }
        world.run(100ms);
    }
    EXPECT_EQ(world.starts[task], 1);
    EXPECT_EQ(own->pacePercents.at(task), 100);
}

// A task was stopped to leave a draining worker, although all others have a task of its step.
TEST(Waits, ATaskStaysOnADrainingWorkerWhileNoOtherMayTakeIt)
{
    serving_site site;
    scheduler_world &world = site.load.world;
    fake_worker &draining = world.workers.begin()->second;
    draining.info.isDraining = true;
    site.load.owner.core.onWorker(world.now, draining.info);
    site.run(5s);
    EXPECT_EQ(draining.runs.size(), 1U);
}
