// Guards against best-effort jobs that could run but never get a worker, because work that is
// preferred keeps every worker near what its serving tasks tolerate.

#include "correctness/scheduler_interfering_burst.h"

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

/// The platform asks for jobs without a run this long after the traffic has ended.
constexpr duration finishLimit = 14s;

/// From then on, a job that could run must not be without a run for this time.
constexpr duration idleLimit = 3s;

/// A steady overload of tasks that are in time and interfere little, which use more than half of
/// the processors, and jobs of an image that interferes more than the serving tasks of any worker
/// tolerate. What runs reserve is 40% of the processors and 15% of the memory.
struct overloaded_site
{
    overloaded_site()
        : load(6)
    {
        load.coefficients["light"] = 0.6;
        load.world.runTime = [](const task_name &task) {
            return task.job.value == "s" ? duration(1000s) : duration(2s);
        };
    }

    void submit(const std::string &name, const std::string &image, int tasks, int expectedRunMs,
                const std::string &queue = "builds")
    {
        job_spec job = plainJob(name, tasks);
        job.queue.value = queue;
        job.steps[0].isBestEffort = true;
        job.steps[0].image = image;
        job.steps[0].expectedRunMs = expectedRunMs;
        load.owner.call(job_call_kind::submit, job.name, &job);
    }

    // Advances time by 100 ms. Every 200 ms, four tasks that are in time are submitted.
    void step()
    {
        if (steps++ % 2 == 0)
            submit(fmt::format("light-{}", steps), "light", 4, 20000);
        load.step();
        for (auto &[name, idle] : idleTime) {
            idle = hasRun(name) ? duration::zero() : idle + 100ms;
            longestIdleTime[name] = std::max(longestIdleTime[name], idle);
        }
    }

    void run(duration time)
    {
        for (duration passed = 0ms; passed < time; passed += 100ms)
            step();
    }

    bool hasRun(const std::string &job) const
    {
        return std::any_of(
            load.world.workers.begin(), load.world.workers.end(), [&](const auto &worker) {
                return std::any_of(worker.second.runs.begin(), worker.second.runs.end(),
                                   [&](const auto &run) { return run.first.job.value == job; });
            });
    }

    // Returns true if the owner has started a run that yields.
    bool hasYieldingStart() const
    {
        const auto &starts = load.owner.starts;
        return std::any_of(starts.begin(), starts.end(), [](const std::string &fields) {
            return fields.find("yields=true") != std::string::npos;
        });
    }

    // Returns the number of tasks of the load that have ended.
    std::int64_t lightTasksDone() const
    {
        return std::count_if(
            load.world.done.begin(), load.world.done.end(),
            [](const task_name &task) { return task.job.value.rfind("light", 0) == 0; });
    }

    void watch(const std::string &job) { idleTime[job] = duration::zero(); }

    interfering_burst load;
    int steps = 0;
    std::map<std::string, duration> idleTime; ///< Of the watched jobs, since their last run.
    std::map<std::string, duration> longestIdleTime;
};

} // namespace

TEST(Starvation, AJobPastItsObjectiveIsNeverIdleForLong)
{
    overloaded_site site;
    site.run(10s);
    for (const std::string name : {"a", "b", "c"}) {
        site.submit(name, "heavy", 4, 10);
        site.watch(name);
    }
    site.run(20s);
    for (const std::string name : {"a", "b", "c"})
        EXPECT_LT(toMs(site.longestIdleTime[name]), toMs(idleLimit)) << name;
}

TEST(Starvation, AJobThatIsInTimeStartsInBoundedTime)
{
    overloaded_site site;
    site.run(10s);
    site.submit("a", "heavy", 4, 30000);
    site.watch("a");
    site.run(20s);
    EXPECT_LT(toMs(site.longestIdleTime["a"]), toMs(finishLimit));
}

// The bound must not cost the work that is in time, nor the serving tasks, which step() checks.
TEST(Starvation, WorkThatIsInTimeLosesNothingToStarvedJobs)
{
    overloaded_site site;
    overloaded_site undisturbed;
    site.run(10s);
    undisturbed.run(10s);
    for (int i = 0; i < 6; ++i)
        site.submit(fmt::format("h{}", i), "heavy", 4, 10);
    site.run(20s);
    undisturbed.run(20s);
    EXPECT_GE(double(site.lightTasksDone()), 0.97 * double(undisturbed.lightTasksDone()));
}

// An owner that is replaced while runs yield and owns the jobs again later knew tasks of its former
// ownership, which ended the process.
TEST(Starvation, YieldingRunsOfAFormerOwnershipAreForgotten)
{
    overloaded_site site;
    scheduler_world &world = site.load.world;
    fake_host &first = site.load.owner;
    site.run(5s);
    int jobs = 0;
    while (!site.hasYieldingStart() && jobs < 20) {
        site.submit(fmt::format("h{}", jobs++), "heavy", 4, 10);
        site.run(1s);
    }
    ASSERT_TRUE(site.hasYieldingStart());
    fake_host &second = world.addHost("host-2");
    world.takeOver(second);
    first.core.giveUp(world.now);
    for (int i = 0; i < jobs; ++i)
        second.call(job_call_kind::cancel, {fmt::format("h{}", i)});
    world.run(5s);
    second.core.giveUp(world.now);
    world.takeOver(first);
    site.run(5s);
    EXPECT_EQ(world.violations, std::vector<std::string>());
    EXPECT_GT(site.lightTasksDone(), 0);
}

// A job of which nothing runs is logged with the reasons why no worker takes it. It is in time by
// its estimate of 30 s, because nothing is known of the run times of its queue.
TEST(Starvation, IsLoggedWithTheReasons)
{
    overloaded_site site;
    std::vector<queue_policy> queues = site.load.world.queues;
    queues.push_back(queues.front());
    queues.back().queue.value = "others";
    site.load.owner.core.setQueues(site.load.world.now, queues);
    site.run(10s);
    site.submit("a", "heavy", 4, 30000, "others");
    site.run(5s);
    const auto &waits = site.load.owner.waits;
    const bool isNamed = std::any_of(waits.begin(), waits.end(), [](const std::string &fields) {
        return fields.find("job=a ") != std::string::npos
            && fields.find("workers=6 ") != std::string::npos
            && fields.find(" room=0 ") != std::string::npos;
    });
    EXPECT_TRUE(isNamed);
}
