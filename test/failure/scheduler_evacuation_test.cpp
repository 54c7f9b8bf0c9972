// Guards against continuous tasks that are stopped for places which others take, and against
// interrupted ones that find no room because each gap is taken by a smaller task.

#include "correctness/scheduler_world.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

/// The platform counts a continuous task as lost that does not run for this time.
constexpr duration absenceLimit = 6s;

/// Stopping a run and starting it elsewhere takes up to this time.
constexpr duration moveTime = 1s;

job_spec continuousJob(const std::string &name, int tasks, std::int64_t milliCores)
{
    job_spec job = plainJob(name, tasks);
    job.steps[0].isContinuous = true;
    job.steps[0].size.milliCores = milliCores;
    return job;
}

/// A fleet whose workers can be told to drain.
struct evacuation : testing::Test
{
    evacuation()
        : owner(world.addHost("host-1"))
    {
        world.runTime = [this](const task_name &task) {
            const bool isContinuous = world.specs.at(task.job).steps[0].isContinuous;
            // Runs that end one by one leave small gaps.
            return isContinuous ? duration(1000s) : 600ms + 100ms * (task.index * 37 % 11);
        };
    }

    void addWorkers(const std::string &prefix, int count)
    {
        for (int i = 0; i < count; ++i)
            world.addWorker(fmt::format("{}{}", prefix, i), "rack-1", {4000, 64000, 0});
    }

    void submit(const job_spec &job) { owner.call(job_call_kind::submit, job.name, &job); }

    void drain(const std::string &prefix)
    {
        for (auto &[id, worker] : world.workers) {
            if (id.value.compare(0, prefix.size(), prefix) != 0)
                continue;
            worker.info.isDraining = true;
            owner.core.onWorker(world.now, worker.info);
        }
    }

    // Returns the names of the continuous tasks that run.
    std::set<task_name> runningTasks() const
    {
        std::set<task_name> running;
        for (const auto &[id, worker] : world.workers) {
            for (const auto &[task, run] : worker.runs) {
                if (world.specs.at(task.job).steps[0].isContinuous)
                    running.insert(task);
            }
        }
        return running;
    }

    // Runs the simulation while finite tasks of one core are submitted faster than they can run.
    // Returns the longest time for which one of the tasks that run now was away.
    duration longestAbsence(duration time)
    {
        constexpr duration step = 50ms;
        const std::set<task_name> tasks = runningTasks();
        std::map<task_name, duration> away;
        duration longest = duration::zero();
        for (duration passed = duration::zero(); passed < time; passed += step) {
            if (backlogTasks > 0 && passed.count() % duration(500ms).count() == 0)
                submitBacklog();
            world.run(step);
            const std::set<task_name> running = runningTasks();
            for (const task_name &task : tasks) {
                duration &absence = away[task];
                absence = running.count(task) != 0 ? duration::zero() : absence + step;
                longest = std::max(longest, absence);
            }
        }
        return longest;
    }

    // Hands the ownership over and lets the other host take over 300 ms later.
    void handOverTo(fake_host &successor)
    {
        if (!owner.core.prepareHandover(world.now)) {
            world.at(world.now + 10ms, [&] { handOverTo(successor); });
            return;
        }
        owner.core.giveUp(world.now);
        owner.isDead = true;
        world.at(world.now + 300ms, [&] { world.takeOver(successor); });
    }

    // Submits finite tasks of one core that stay in time, so that they go before continuous ones.
    void submitBacklog()
    {
        job_spec job = plainJob(fmt::format("backlog-{}", backlogJobs++), backlogTasks);
        job.steps[0].expectedRunMs = 60000;
        submit(job);
    }

    scheduler_world world;
    fake_host &owner;
    int backlogTasks = 0; ///< Number of finite tasks that are submitted each half second.
    int backlogJobs = 0;
};

} // namespace

// 200 of 320 workers drain at once, with 400 continuous tasks, and 20 workers have room for 40.
TEST_F(evacuation, StopsNoMoreTasksThanThereArePlacesFor)
{
    addWorkers("leaving-", 200);
    addWorkers("staying-", 100);
    world.takeOver(owner);
    world.run(200ms);
    submit(continuousJob("a", 600, 2000));
    world.run(10s);
    ASSERT_EQ(runningTasks().size(), 600U);
    addWorkers("new-", 20);
    for (auto &[id, worker] : world.workers)
        owner.core.onWorker(world.now, worker.info);
    world.run(500ms);
    drain("leaving-");
    EXPECT_LE(longestAbsence(6s).count(), moveTime.count());
    EXPECT_EQ(runningTasks().size(), 600U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
    std::size_t moved = 0;
    for (const auto &[id, worker] : world.workers)
        moved += id.value.compare(0, 4, "new-") == 0 ? worker.runs.size() : 0;
    EXPECT_EQ(moved, 40U); // All places are used.
}

// While the tasks of draining workers end, finite tasks wait for the places.
TEST_F(evacuation, KeepsThePlacesOfTasksThatAreStopped)
{
    addWorkers("leaving-", 40);
    addWorkers("staying-", 60);
    world.takeOver(owner);
    world.run(200ms);
    submit(continuousJob("a", 80, 2000));
    world.run(3s);
    ASSERT_EQ(runningTasks().size(), 80U);
    backlogTasks = 200;
    longestAbsence(2s);
    drain("leaving-");
    EXPECT_LE(longestAbsence(8s).count(), moveTime.count());
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// Each worker runs finite tasks of one core, and more of them wait than can run. A worker that
// crashes runs a continuous task of four cores.
TEST_F(evacuation, AnInterruptedTaskGetsRoomThatSmallerTasksWouldTake)
{
    addWorkers("a-", 8);
    world.takeOver(owner);
    world.run(200ms);
    submit(continuousJob("a", 1, 4000));
    world.run(1s);
    ASSERT_EQ(runningTasks().size(), 1U);
    backlogTasks = 40;
    longestAbsence(3s);
    const auto busy
        = std::find_if(world.workers.begin(), world.workers.end(), [&](const auto &entry) {
              const auto &runs = entry.second.runs;
              return std::any_of(runs.begin(), runs.end(),
                                 [](const auto &run) { return run.first.job.value == "a"; });
          });
    ASSERT_NE(busy, world.workers.end());
    fake_worker &crashing = busy->second;
    world.at(world.now + 100ms, [&] { world.restartWorker(crashing); });
    EXPECT_LE(longestAbsence(20s).count(), absenceLimit.count());
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// A worker with room that is kept drains before the task has started there.
TEST_F(evacuation, GivesUpPlacesOnWorkersThatDrain)
{
    addWorkers("leaving-", 20);
    addWorkers("next-", 10);
    addWorkers("staying-", 20);
    world.takeOver(owner);
    world.run(200ms);
    submit(continuousJob("a", 40, 2000));
    world.run(3s);
    drain("leaving-");
    world.at(world.now + 120ms, [&] { drain("next-"); });
    EXPECT_LE(longestAbsence(10s).count(), absenceLimit.count());
    EXPECT_EQ(runningTasks().size(), 40U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// Workers leave with continuous tasks that no other worker could take before. The lease of such a
// task does not outlast its worker by much, so that it need not be awaited.
TEST_F(evacuation, TasksOfWorkersThatHaveLeftStartAsSoonAsThereIsRoom)
{
    addWorkers("leaving-", 10);
    world.takeOver(owner);
    world.run(200ms);
    submit(continuousJob("a", 20, 2000));
    world.run(3s);
    ASSERT_EQ(runningTasks().size(), 20U);
    for (auto &[id, worker] : world.workers)
        worker.info.leavesAtClockMs = worker.clockMs(world.now) + 9000;
    drain("leaving-");
    world.at(world.now + 9s, [&] {
        for (auto &[id, worker] : world.workers)
            world.removeWorker(worker);
        addWorkers("new-", 10);
        for (auto &[id, worker] : world.workers) {
            if (worker.isUp)
                owner.core.onWorker(world.now, worker.info);
        }
    });
    EXPECT_LE(longestAbsence(20s).count(), duration(2500ms).count());
    EXPECT_EQ(runningTasks().size(), 20U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// The owner changes as planned while workers leave with continuous tasks. The successor knows when
// the leases of these workers end.
TEST_F(evacuation, TasksOfWorkersThatLeaveDuringAHandOverStartInTime)
{
    fake_host &second = world.addHost("host-2");
    addWorkers("leaving-", 10);
    addWorkers("staying-", 2);
    world.takeOver(owner);
    world.run(200ms);
    submit(continuousJob("a", 24, 2000));
    world.run(3s);
    ASSERT_EQ(runningTasks().size(), 24U);
    for (auto &[id, worker] : world.workers)
        worker.info.leavesAtClockMs = worker.clockMs(world.now) + 9000;
    drain("leaving-");
    world.at(world.now + 8800ms, [&] { handOverTo(second); });
    world.at(world.now + 9s, [&] {
        for (auto &[id, worker] : world.workers) {
            if (worker.info.isDraining)
                world.removeWorker(worker);
        }
        addWorkers("new-", 10);
    });
    EXPECT_LE(longestAbsence(20s).count(), duration(4s).count());
    EXPECT_EQ(runningTasks().size(), 24U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// A worker that stays longer than it announced keeps its runs.
TEST_F(evacuation, WorkersThatStayLongerThanAnnouncedKeepTheirRuns)
{
    addWorkers("leaving-", 10);
    world.takeOver(owner);
    world.run(200ms);
    submit(continuousJob("a", 20, 2000));
    world.run(3s);
    ASSERT_EQ(runningTasks().size(), 20U);
    for (auto &[id, worker] : world.workers)
        worker.info.leavesAtClockMs = worker.clockMs(world.now) + 2000;
    drain("leaving-");
    EXPECT_EQ(longestAbsence(20s).count(), 0);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}
