// Guards against tasks that are started in a data centre that the operator evacuates, and against
// continuous tasks that are moved out of it at the expense of their users.

#include "correctness/scheduler_world.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

/// Stopping a run and starting it elsewhere takes up to this time.
constexpr duration moveTime = 1s;

/// Start commands that were sent before an evacuation was known arrive within this time.
constexpr duration commandTime = 2 * messageDelay;

const data_centre_id evacuated{"b"};

job_spec continuousJob(const std::string &name, int tasks, int maxUnavailable)
{
    job_spec job = plainJob(name, tasks);
    job.steps[0].isContinuous = true;
    job.steps[0].size.milliCores = 2000;
    job.steps[0].maxUnavailable = maxUnavailable;
    return job;
}

/// A fleet in the data centres `a` and `b`, of which the operator evacuates `b`.
struct evacuated_data_centre : testing::Test
{
    evacuated_data_centre()
        : owner(world.addHost("host-1"))
    {
        world.runTime = [this](const task_name &task) {
            return isContinuous(task) ? duration(1000s) : 600ms + 100ms * (task.index * 37 % 11);
        };
    }

    bool isContinuous(const task_name &task) const
    {
        return world.specs.at(task.job).steps[0].isContinuous;
    }

    void addWorkers(const std::string &dataCentre, int count)
    {
        for (int i = 0; i < count; ++i)
            world.addWorker(fmt::format("{}-{:02}", dataCentre, i), "rack-1", {4000, 64000, 0})
                .info.dataCentre.value
                = dataCentre;
    }

    // Lets the owner know of workers that were added after it took over.
    void publishWorkers()
    {
        for (auto &[id, worker] : world.workers)
            owner.core.onWorker(world.now, worker.info);
    }

    void submit(fake_host &host, const job_spec &job)
    {
        host.call(job_call_kind::submit, job.name, &job);
    }

    void submitBacklog(fake_host &host, int jobs)
    {
        for (int i = 0; i < jobs; ++i)
            submit(host, plainJob(fmt::format("backlog-{}", backlogJobs++), 100));
    }

    void evacuate(fake_host &host, const std::set<data_centre_id> &dataCentres)
    {
        host.core.setEvacuatedDataCentres(world.now, dataCentres);
        host.scheduleTick();
    }

    // Returns each run in the evacuated data centre, by task and run number.
    std::set<std::pair<task_name, int>> runsInEvacuated() const
    {
        std::set<std::pair<task_name, int>> runs;
        for (const auto &[id, worker] : world.workers) {
            for (const auto &[task, run] : worker.runs) {
                if (worker.info.dataCentre == evacuated)
                    runs.insert({task, run.run});
            }
        }
        return runs;
    }

    std::size_t continuousRunsIn(const std::string &dataCentre) const
    {
        std::size_t runs = 0;
        for (const auto &[id, worker] : world.workers) {
            for (const auto &[task, run] : worker.runs)
                runs += worker.info.dataCentre.value == dataCentre && isContinuous(task) ? 1 : 0;
        }
        return runs;
    }

    // Runs the simulation. Returns how many runs began in the evacuated data centre meanwhile.
    std::size_t startsInEvacuated(duration time)
    {
        constexpr duration step = 5ms;
        std::size_t starts = 0;
        std::set<std::pair<task_name, int>> known = runsInEvacuated();
        for (duration passed = duration::zero(); passed < time; passed += step) {
            world.run(step);
            for (const auto &run : runsInEvacuated())
                starts += known.insert(run).second ? 1 : 0;
        }
        return starts;
    }

    // Returns the tasks of the job that are available: they run and have started up.
    std::set<task_name> availableTasks(const std::string &job) const
    {
        std::set<task_name> available;
        for (const auto &[id, worker] : world.workers) {
            for (const auto &[task, run] : worker.runs) {
                if (task.job.value == job && !run.isStopping
                    && world.now - run.startedAt >= world.startupTime)
                    available.insert(task);
            }
        }
        return available;
    }

    struct observation
    {
        int mostUnavailable = 0; ///< Largest number of tasks that were unavailable at once.
        duration longestAbsence{}; ///< Longest time for which a task did not run.
    };

    // Runs the simulation and observes the continuous tasks of a job.
    observation observe(const std::string &job, duration time)
    {
        constexpr duration step = 10ms;
        const int count = world.specs.at({job}).steps[0].count;
        observation seen;
        std::map<task_name, duration> away;
        for (duration passed = duration::zero(); passed < time; passed += step) {
            world.run(step);
            seen.mostUnavailable
                = std::max(seen.mostUnavailable, count - int(availableTasks(job).size()));
            for (int index = 0; index < count; ++index) {
                const task_name task{{job}, 0, 0, index};
                const bool isRunning
                    = std::any_of(world.workers.begin(), world.workers.end(),
                                  [&](const auto &w) { return w.second.runs.count(task) != 0; });
                duration &absence = away[task];
                absence = isRunning ? duration::zero() : absence + step;
                seen.longestAbsence = std::max(seen.longestAbsence, absence);
            }
        }
        return seen;
    }

    scheduler_world world;
    fake_host &owner;
    int backlogJobs = 0;
};

} // namespace

TEST_F(evacuated_data_centre, NoTaskOfABacklogStartsThereUntilItIsTakenBack)
{
    addWorkers("a", 10);
    addWorkers("b", 10);
    world.takeOver(owner);
    submitBacklog(owner, 20);
    EXPECT_GT(startsInEvacuated(2s), 0U);
    evacuate(owner, {evacuated});
    startsInEvacuated(commandTime);
    EXPECT_EQ(startsInEvacuated(5s), 0U);
    EXPECT_EQ(runsInEvacuated().size(), 0U); // Finite runs have ended there.
    EXPECT_EQ(world.failedRuns.size(), 0U);
    evacuate(owner, {});
    EXPECT_GT(startsInEvacuated(1s), 0U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
    const auto count = [&](const char *event) {
        return std::count(owner.events.begin(), owner.events.end(), event);
    };
    EXPECT_EQ(count("evacuation_begun"), 1);
    EXPECT_EQ(count("evacuation_ended"), 1);
}

TEST_F(evacuated_data_centre, ANewOwnerThatKnowsOfItStartsNothingThere)
{
    addWorkers("a", 10);
    addWorkers("b", 10);
    fake_host &second = world.addHost("host-2");
    world.takeOver(owner);
    submitBacklog(owner, 20);
    world.run(2s);
    evacuate(owner, {evacuated});
    evacuate(second, {evacuated});
    startsInEvacuated(commandTime);
    owner.isDead = true;
    EXPECT_EQ(startsInEvacuated(1s), 0U);
    world.takeOver(second);
    EXPECT_EQ(startsInEvacuated(10s), 0U);
    EXPECT_GT(second.core.counters().starts, 0);
    evacuate(second, {});
    EXPECT_GT(startsInEvacuated(1s), 0U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// A new owner reads the operator's keys late. It learns of the evacuation before the queues.
TEST_F(evacuated_data_centre, ANewOwnerThatHasNotReadTheConfigurationStartsNothing)
{
    addWorkers("a", 10);
    addWorkers("b", 10);
    fake_host &second = world.addHost("host-2");
    world.takeOver(owner);
    submitBacklog(owner, 20);
    world.run(2s);
    owner.isDead = true;
    const std::vector<queue_policy> queues = world.queues;
    world.queues.clear();
    world.takeOver(second);
    EXPECT_EQ(startsInEvacuated(10s), 0U);
    EXPECT_EQ(second.core.counters().starts, 0);
    evacuate(second, {evacuated});
    second.core.setQueues(world.now, queues);
    EXPECT_EQ(startsInEvacuated(5s), 0U);
    EXPECT_GT(second.core.counters().starts, 0);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// A former owner that is elected again keeps what it knows.
TEST_F(evacuated_data_centre, AnOwnerThatIsElectedAgainStillKnowsOfIt)
{
    addWorkers("a", 10);
    addWorkers("b", 10);
    world.takeOver(owner);
    evacuate(owner, {evacuated});
    submitBacklog(owner, 20);
    EXPECT_EQ(startsInEvacuated(2s), 0U);
    owner.core.giveUp(world.now);
    world.takeOver(owner);
    EXPECT_EQ(startsInEvacuated(10s), 0U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// 40 tasks have to leave 20 workers, and only 10 other workers have room, for two tasks each.
TEST_F(evacuated_data_centre, ContinuousTasksMoveAsPlacesAllowAndTheOthersStay)
{
    addWorkers("b", 20);
    world.takeOver(owner);
    submit(owner, continuousJob("c", 40, 0));
    world.run(5s);
    ASSERT_EQ(continuousRunsIn("b"), 40U);
    addWorkers("a", 10);
    publishWorkers();
    world.run(500ms);
    evacuate(owner, {evacuated});
    EXPECT_LT(observe("c", 10s).longestAbsence.count(), moveTime.count());
    EXPECT_EQ(continuousRunsIn("a"), 20U);
    EXPECT_EQ(continuousRunsIn("b"), 20U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// Each task takes a while to start up, and counts as unavailable until then.
TEST_F(evacuated_data_centre, NoMoreTasksAreUnavailableThanTheStepAllows)
{
    constexpr int maxUnavailable = 2;
    world.startupTime = 400ms;
    addWorkers("b", 10);
    world.takeOver(owner);
    submit(owner, continuousJob("c", 20, maxUnavailable));
    world.run(5s);
    ASSERT_EQ(continuousRunsIn("b"), 20U);
    addWorkers("a", 20);
    publishWorkers();
    world.run(500ms);
    evacuate(owner, {evacuated});
    const observation seen = observe("c", 40s);
    EXPECT_LE(seen.mostUnavailable, maxUnavailable);
    EXPECT_LT(seen.longestAbsence.count(), moveTime.count());
    EXPECT_EQ(continuousRunsIn("a"), 20U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// A task of the step that cannot run uses up what the step allows.
TEST_F(evacuated_data_centre, NoTaskIsMovedWhileAnotherOfItsStepIsMissing)
{
    addWorkers("a", 1);
    addWorkers("b", 4);
    // One task finds no worker.
    world.takeOver(owner);
    submit(owner, continuousJob("c", 11, 1));
    world.run(5s);
    ASSERT_EQ(availableTasks("c").size(), 10U);
    ASSERT_EQ(continuousRunsIn("b"), 8U);
    const auto before = runsInEvacuated();
    evacuate(owner, {evacuated});
    EXPECT_EQ(observe("c", 5s).mostUnavailable, 1);
    EXPECT_EQ(runsInEvacuated(), before);
    // Once there is room, the missing task starts first, and then the others move.
    addWorkers("c", 8);
    publishWorkers();
    EXPECT_LE(observe("c", 30s).mostUnavailable, 1);
    EXPECT_EQ(continuousRunsIn("b"), 0U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// Places there that are kept for tasks are given up.
TEST_F(evacuated_data_centre, TasksOnTheirWayThereGoElsewhere)
{
    addWorkers("a", 10);
    world.takeOver(owner);
    submit(owner, continuousJob("c", 20, 0));
    world.run(5s);
    ASSERT_EQ(continuousRunsIn("a"), 20U);
    addWorkers("b", 10);
    addWorkers("c", 10);
    for (auto &[id, worker] : world.workers)
        worker.info.isDraining = worker.info.dataCentre.value == "a";
    publishWorkers();
    world.at(world.now + 120ms, [&] { evacuate(owner, {evacuated}); });
    world.run(120ms + commandTime);
    EXPECT_EQ(startsInEvacuated(10s), 0U);
    EXPECT_EQ(continuousRunsIn("b") + continuousRunsIn("c"), 20U);
    EXPECT_EQ(continuousRunsIn("b"), 0U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// In a large fleet, the choice of workers is cached for up to a second.
TEST_F(evacuated_data_centre, WorkersAreUsedAtOnceWhenTheyAreTakenBack)
{
    addWorkers("b", 1000);
    world.takeOver(owner);
    evacuate(owner, {evacuated});
    submitBacklog(owner, 1);
    EXPECT_EQ(startsInEvacuated(2s), 0U);
    evacuate(owner, {});
    EXPECT_EQ(startsInEvacuated(50ms), 100U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// The log names the reason why work waits.
TEST_F(evacuated_data_centre, WaitsAreExplained)
{
    addWorkers("b", 3);
    world.takeOver(owner);
    evacuate(owner, {evacuated});
    submit(owner, plainJob("finite", 2));
    world.run(6s);
    ASSERT_FALSE(owner.waits.empty());
    EXPECT_NE(owner.waits.back().find(" workers=3 evacuated=3 "), std::string::npos);
    EXPECT_EQ(owner.core.counters().evacuatedDataCentres, 1);
}
