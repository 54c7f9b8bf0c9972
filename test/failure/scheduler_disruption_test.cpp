// Guards against moves that stop more tasks of a step at once than it can do without, because each
// sender of stop commands looks at its own worker only.

#include "correctness/scheduler_interfering_burst.h"

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

/// A task that is not available for this time counts as unavailable, whatever the cause.
constexpr duration noticeTime = 4500ms;

constexpr duration stepTime = 100ms;

/// Workers in two data centres that run serving tasks and, beside them, continuous best-effort
/// tasks, of which only so many may be unavailable at once. All stop commands are checked.
class watched_site
{
public:
    explicit watched_site(int workers)
        : m_owner(world.addHost("host-1"))
    {
        for (int i = 0; i < workers; ++i)
            addWorker();
        world.runTime = [this](const task_name &task) {
            return world.specs.at(task.job).steps[0].isContinuous ? duration(1000s) : duration(1s);
        };
        world.startupTime = 500ms;
        world.onStop = [this](const fake_worker &worker, const stop_command &command) {
            checkStop(worker, command);
        };
        world.takeOver(m_owner);
        world.run(200ms);
    }

    void addWorker()
    {
        const std::string name = fmt::format("w{}", m_workers++);
        fake_worker &worker = world.addWorker(name, "rack-1", {8000, 64000, 0});
        worker.info.dataCentre.value = m_workers % 2 == 0 ? "a" : "b";
        publish(worker);
    }

    void publish(fake_worker &worker)
    {
        if (!m_owner.core.isOwner())
            return;
        m_owner.core.onWorker(world.now, worker.info);
        m_owner.scheduleTick();
    }

    void submitServing(const std::string &name, int tasks)
    {
        job_spec job = plainJob(name, tasks);
        job.steps[0].isContinuous = true;
        job.steps[0].image = "serving";
        job.steps[0].latencyTargetMs = 50;
        job.steps[0].maxPerWorker = 1;
        job.steps[0].size.milliCores = 2000;
        submit(job);
    }

    void submitReplicas(const std::string &name, int tasks, int maxUnavailable, bool isBestEffort)
    {
        job_spec job = plainJob(name, tasks);
        job.steps[0].isContinuous = true;
        job.steps[0].isBestEffort = isBestEffort;
        job.steps[0].image = "comparison";
        job.steps[0].maxUnavailable = maxUnavailable;
        submit(job);
    }

    void submit(const job_spec &job) { m_owner.call(job_call_kind::submit, job.name, &job); }

    void evacuate(const std::set<data_centre_id> &dataCentres)
    {
        m_owner.core.setEvacuatedDataCentres(world.now, dataCentres);
        m_owner.scheduleTick();
    }

    void run(duration time)
    {
        for (const instant end = world.now + time; world.now < end;)
            step();
    }

    /// Returns the number of tasks of the job that are available.
    int available(const std::string &job) const
    {
        const job_spec &spec = world.specs.at({job});
        int count = 0;
        for (int index = 0; index < spec.steps[0].count; ++index)
            count += isAvailable({spec.name, 0, 0, index}) ? 1 : 0;
        return count;
    }

    scheduler_world world;
    std::map<worker_id, double> loads; ///< Utilisation of serving tasks by their own users.
    std::vector<std::string> broken; ///< Stop commands that should not have been sent.
    int stops = 0; ///< Number of stop commands for tasks that were available.

private:
    static constexpr double usualLoad = 0.3;

    bool isAvailable(const task_name &task) const
    {
        return std::any_of(world.workers.begin(), world.workers.end(), [&](const auto &entry) {
            const fake_worker &worker = entry.second;
            const auto run = worker.runs.find(task);
            return worker.isUp && run != worker.runs.end() && !run->second.isStopping
                && world.now - run->second.startedAt >= world.startupTime;
        });
    }

    // Advances time, with usage and latencies from a queueing model.
    void step()
    {
        for (auto &[id, worker] : world.workers)
            measure(worker);
        world.run(stepTime);
        for (const auto &[name, spec] : world.specs) {
            for (int index = 0; index < spec.steps[0].count; ++index) {
                const task_name task{name, 0, 0, index};
                if (!isAvailable(task))
                    continue;
                m_availableAt[task] = world.now;
                m_stopped.erase(task);
            }
        }
    }

    void measure(fake_worker &worker)
    {
        const auto load = loads.find(worker.info.id);
        double utilisation = load == loads.end() ? usualLoad : load->second;
        for (const auto &[task, run] : worker.runs) {
            const auto pace = worker.pacePercents.find(task);
            const int percent = pace == worker.pacePercents.end() ? 100 : pace->second;
            const step_spec &step = world.specs.at(task.job).steps[0];
            worker.measurements[task] = 10 * percent;
            if (step.isBestEffort)
                utilisation += 0.8 * percent / 100 * double(step.size.milliCores)
                    / double(worker.info.capacity.milliCores);
        }
        for (const auto &[task, run] : worker.runs) {
            if (world.specs.at(task.job).steps[0].latencyTargetMs > 0)
                worker.measurements[task] = std::int64_t(10 / (1 - std::min(0.98, utilisation)));
        }
    }

    void checkStop(const fake_worker &worker, const stop_command &command)
    {
        const step_spec &step = world.specs.at(command.task.job).steps[0];
        const auto run = worker.runs.find(command.task);
        const bool isCurrent = run != worker.runs.end() && run->second.run == command.run;
        if (step.maxUnavailable == 0 || !isCurrent || !isAvailable(command.task))
            return;
        ++stops;
        int away = 0;
        for (int index = 0; index < step.count; ++index) {
            const task_name other{command.task.job, 0, 0, index};
            const bool isAway
                = m_stopped.count(other) != 0 || world.now - m_availableAt[other] >= noticeTime;
            away += isAway && !isAvailable(other) ? 1 : 0;
        }
        if (away >= step.maxUnavailable && !worker.info.isDraining)
            broken.push_back(fmt::format("at {} ms {} on {} while {} are away",
                                         toMs(world.now - instant(1000s)), toString(command.task),
                                         worker.info.id.value, away));
        m_stopped.insert(command.task);
    }

    fake_host &m_owner;
    int m_workers = 0;
    std::set<task_name> m_stopped; ///< By a command, and not seen available since.
    std::map<task_name, instant> m_availableAt; ///< When each task was last available.
};

} // namespace

// The load of a serving task rises, so that the tasks beside it are slowed down and moved to an
// idle worker.
TEST(Disruption, SlowTasksAreMovedNoFasterThanTheirStepAllows)
{
    watched_site site(1);
    site.submitServing("s", 1);
    site.submitReplicas("replicas", 4, 1, true);
    site.run(6s);
    site.addWorker();
    site.run(5s);
    ASSERT_EQ(site.available("replicas"), 4);
    site.loads[{"w0"}] = 0.72;
    site.run(20s);
    EXPECT_EQ(site.broken, std::vector<std::string>());
    EXPECT_GE(site.stops, 3); // The tasks do move.
    EXPECT_EQ(site.available("replicas"), 4);
}

// No worker tolerates the tasks, so that one of them runs and yields to all others. It must not be
// moved to an idle worker while the others are still on their way there.
TEST(Disruption, AYieldingTaskIsMovedOnceTheOthersOfItsStepAreAvailable)
{
    watched_site site(2);
    site.loads = {{{"w0"}, 0.79}, {{"w1"}, 0.79}};
    site.submitServing("s", 2);
    site.run(3s);
    site.submitReplicas("replicas", 3, 1, true);
    site.run(14s);
    ASSERT_EQ(site.available("replicas"), 1);
    ASSERT_EQ(site.stops, 0);
    site.addWorker();
    site.run(10s);
    EXPECT_EQ(site.broken, std::vector<std::string>());
    EXPECT_EQ(site.stops, 1);
    EXPECT_EQ(site.available("replicas"), 3);
}

namespace {

class random_disruption : public testing::TestWithParam<int>
{ };

// Lets the loads of workers, drains, crashes and evacuations come at random.
void disturb(watched_site &site, seeded_random &random)
{
    auto worker = site.world.workers.begin();
    std::advance(worker, std::ptrdiff_t(random.below(site.world.workers.size())));
    fake_worker &target = worker->second;
    switch (random.below(10)) {
    case 0:
        site.evacuate({data_centre_id{"b"}});
        return;
    case 1:
        site.evacuate({});
        return;
    case 2:
        target.info.isDraining = !target.info.isDraining;
        site.publish(target);
        return;
    case 3:
        target.isUp = false;
        site.run(duration(500ms + 1ms * int(random.below(4000))));
        site.world.restartWorker(target);
        return;
    default:
        site.loads[target.info.id] = 0.1 + 0.75 * random.fraction();
    }
}

} // namespace

TEST_P(random_disruption, NoStepLosesMoreTasksThanItAllows)
{
    seeded_random random{std::uint64_t(GetParam())};
    watched_site site(6);
    site.submitServing("s", 5);
    site.submitReplicas("filling", 6, 1, true);
    site.submitReplicas("other", 5, 2, true);
    site.submitReplicas("plain", 6, 1, false);
    site.run(5s);
    for (int i = 0; i < 40; ++i) {
        disturb(site, random);
        site.run(duration(1ms * int(random.below(2500))));
    }
    EXPECT_EQ(site.broken, std::vector<std::string>()) << "seed " << GetParam();
    RecordProperty("stops", site.stops);
}

INSTANTIATE_TEST_SUITE_P(Disruption, random_disruption, testing::Range(1, 61));
