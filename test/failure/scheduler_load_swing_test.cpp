// Guards against serving tasks over their latency target because paces and starts of best-effort
// tasks follow a swing of the load too late.

#include "correctness/scheduler_interfering_burst.h"

#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <numeric>
#include <utility>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

constexpr duration stepTime = 50ms;
constexpr int targetMs = 100;
constexpr int servingMilliCores = 2000;
constexpr std::int64_t workerMilliCores = 16000;

/// Workers with three serving tasks each, and best-effort tasks that fill the rest. The tasks are
/// of one image whose load swings, and those of a worker have their peaks at different times. A
/// worker measures the mean of the last half second.
class swinging_fleet
{
public:
    /// A job has \p tasksPerJob serving tasks. With one, no forecast is made.
    explicit swinging_fleet(int tasksPerJob)
    {
        for (int i = 0; i < m_workers; ++i)
            world.addWorker(fmt::format("w{}", i), "rack-1", {workerMilliCores, 64000, 0})
                .info.labels
                = {fmt::format("place-{}", i / tasksPerJob)};
        world.runTime = [](const task_name &task) {
            return isServing(task) ? duration(1000s) : duration(2s);
        };
        takeOver("host-1");
        for (int i = 0; i < phases * m_workers / tasksPerJob; ++i) {
            job_spec serving = plainJob(fmt::format("s{}", i), tasksPerJob);
            serving.steps[0].isContinuous = true;
            serving.steps[0].image = "serving";
            serving.steps[0].latencyTargetMs = targetMs;
            serving.steps[0].maxPerWorker = 1;
            serving.steps[0].requiredLabel = fmt::format("place-{}", i / phases);
            serving.steps[0].size.milliCores = servingMilliCores;
            m_owner->call(job_call_kind::submit, serving.name, &serving);
            run(100ms);
        }
        run(1s);
    }

    /// Lets a host that has learned nothing take over from the present owner.
    void takeOver(const std::string &name)
    {
        if (m_owner != nullptr)
            m_owner->isDead = true;
        m_owner = &world.addHost(name);
        world.takeOver(*m_owner);
        world.run(200ms);
    }

    void run(duration time)
    {
        for (const instant end = world.now + time; world.now < end;)
            step();
    }

    /// Returns the share of the time of all serving tasks since clear() over the target.
    double shareOver() const { return double(m_over) / double(m_steps * m_workers * phases); }

    /// Returns the mean share of the processors that best-effort tasks have used since clear().
    double shareUsed() const { return m_used / double(m_steps * m_workers); }

    void clear()
    {
        m_over = m_steps = 0;
        m_used = 0;
    }

    scheduler_world world;

private:
    static bool isServing(const task_name &task) { return task.job.value.front() == 's'; }

    // Returns the load by the task's own users. Job number n has phase n.
    double ownLoad(const task_name &task) const
    {
        const double turns = double(world.now.time_since_epoch() / 1ms) / double(period / 1ms)
            + std::stoi(task.job.value.substr(1)) / double(phases);
        return 0.42 + 0.21 * std::sin(2 * M_PI * turns);
    }

    static constexpr int phases = 3;
    static constexpr double coefficient = 2;
    static constexpr duration period = 10s;
    static constexpr duration measuredTime = 500ms;

    // Keeps as much best-effort work waiting as the fleet can take.
    void submitBestEffort()
    {
        if (m_jobSteps++ % 8 != 0)
            return;
        job_spec job = plainJob(fmt::format("f{}", ++m_jobs), m_workers / 2);
        job.steps[0].isBestEffort = true;
        job.steps[0].image = "filling";
        job.steps[0].size.milliCores = 1000;
        job.steps[0].expectedRunMs = 2000;
        m_owner->call(job_call_kind::submit, job.name, &job);
    }

    void step()
    {
        submitBestEffort();
        for (auto &[id, worker] : world.workers) {
            double used = 0;
            for (const auto &[task, run] : worker.runs) {
                if (isServing(task))
                    continue;
                const auto pace = worker.pacePercents.find(task);
                const int percent = pace == worker.pacePercents.end() ? 100 : pace->second;
                worker.measurements[task] = std::int64_t(recentMean(id, task, 10.0 * percent));
                used += 10.0 * percent / double(workerMilliCores);
            }
            for (const auto &[task, run] : worker.runs) {
                if (!isServing(task))
                    continue;
                const double ratio = ratioAt(ownLoad(task) + coefficient * used);
                worker.measurements[task] = std::int64_t(recentMean(id, task, targetMs * ratio));
                m_over += ratio > 1 ? 1 : 0;
            }
            m_used += used;
        }
        ++m_steps;
        world.run(stepTime);
    }

    // Adds the value of a run on the worker, and returns the mean over the measured time, with 0
    // before the run began.
    double recentMean(const worker_id &worker, const task_name &task, double value)
    {
        std::deque<double> &recent = m_recent[{worker, task}];
        recent.push_back(value);
        if (recent.size() > std::size_t(measuredTime / stepTime))
            recent.pop_front();
        return std::accumulate(recent.begin(), recent.end(), 0.0) * double(stepTime / 1ms)
            / double(measuredTime / 1ms);
    }

    int m_workers = 12;
    fake_host *m_owner = nullptr;
    std::map<std::pair<worker_id, task_name>, std::deque<double>> m_recent;
    std::int64_t m_jobs = 0;
    std::int64_t m_jobSteps = 0;
    std::int64_t m_over = 0;
    std::int64_t m_steps = 0;
    double m_used = 0;
};

} // namespace

// A forecast needs a step with several tasks. Without, paces follow the last samples of each
// worker.
TEST(LoadSwing, ServingTasksAreLessOftenOverTheirTargetWithAForecast)
{
    swinging_fleet without(1);
    without.run(25s);
    without.clear();
    without.run(20s);
    swinging_fleet with(12);
    with.run(25s);
    with.clear();
    with.run(20s);
    EXPECT_LT(with.shareOver(), 0.03);
    EXPECT_LT(with.shareOver(), 0.25 * without.shareOver());
    EXPECT_GT(with.shareUsed(), 0.6 * without.shareUsed());
}

TEST(LoadSwing, ANewOwnerLearnsTheForecastAgain)
{
    swinging_fleet fleet(12);
    fleet.run(20s);
    fleet.takeOver("host-2");
    fleet.clear();
    fleet.run(25s);
    EXPECT_LT(fleet.shareOver(), 0.15);
    fleet.clear();
    fleet.run(20s);
    EXPECT_LT(fleet.shareOver(), 0.05);
}
