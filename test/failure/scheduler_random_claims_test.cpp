// Guards against tasks that run twice, workers that are started over their capacity, accepted work
// that is lost, and room that stays kept for nothing, while workers drain, crash and come back and
// owners change, planned and not.

#include "correctness/scheduler_world.h"

#include <cstdlib>
#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

constexpr duration planLength = 30s;
/// After the last change, all tasks that have room run again within this time: the lease of a
/// worker that was lost unnoticed, as a new owner bounds it, and the wait for room.
constexpr duration calmTime = 20s;
/// A worker takes this time to restart.
constexpr duration restartTime = 2200ms;
constexpr int minWorkers = 6;
constexpr int workersAtStart = 10;
constexpr int continuousJobs = 5;
/// More than enough workers for all continuous tasks are added at the end.
constexpr int workersAddedAtEnd = 12; ///< For each service.

// CROCUSWIND_SEEDS sets the number of seeds for a longer run by hand, and CROCUSWIND_FIRST_SEED the
// first one.
int numberFrom(const char *variable, int otherwise)
{
    const char *given = std::getenv(variable);
    return given == nullptr ? otherwise : std::atoi(given);
}

/// A fleet that is nearly full, with the random changes and the checks at the end.
class crowded_site
{
public:
    explicit crowded_site(std::uint64_t seed)
        : m_world(seed)
    {
        m_world.lostResponseRate = seed % 3 == 0 ? 0.01 : 0;
        m_world.runTime = [this](const task_name &task) {
            return isContinuous(task.job) ? duration(1000s) : 300ms + 130ms * (task.index * 7 % 13);
        };
        queue_policy second = m_world.queues[0];
        second.queue.value = "second";
        second.service.value = "other";
        m_world.queues.push_back(second);
        m_owner = &m_world.addHost("host-0");
        for (int i = 0; i < workersAtStart; ++i)
            addWorker();
        takeOver();
        advance(300ms);
        for (int i = 0; i < continuousJobs; ++i)
            submitContinuous();
        advance(2s);
    }

    void play()
    {
        const instant end = m_world.now + planLength;
        while (m_world.now < end) {
            advance(randomUpTo(900));
            submitFinite();
            change();
        }
        endChanges();
        advance(calmTime);
        checkTasks();
        checkRoom();
    }

private:
    static bool isContinuous(const job_name &job) { return job.value[0] == 'c'; }

    std::int64_t below(std::int64_t limit)
    {
        return std::int64_t(m_world.random.below(std::uint64_t(limit)));
    }

    duration randomUpTo(std::int64_t ms) { return below(ms + 1) * 1ms; }

    void advance(duration d) { m_world.run(d); }

    // Jobs.

    void submit(const job_spec &spec)
    {
        m_tokens[spec.name] = {m_owner, m_owner->call(job_call_kind::submit, spec.name, &spec)};
    }

    void submitContinuous()
    {
        job_spec spec = plainJob(fmt::format("c{}", m_jobs++), 2 + int(below(3)));
        step_spec &step = spec.steps[0];
        step.isContinuous = true;
        step.size.milliCores = 500 * (1 + below(8));
        step.maxPerWorker = int(below(2));
        if (below(4) == 0)
            step.requiredLabel = "a";
        if (below(3) == 0)
            spec.queue.value = "second";
        submit(spec);
    }

    // Some jobs are in time, so that they go before continuous ones, and some are late.
    void submitFinite()
    {
        job_spec spec = plainJob(fmt::format("f{}", m_jobs++), 4 + int(below(20)));
        step_spec &step = spec.steps[0];
        step.size.milliCores = 500 * (1 + below(6));
        step.expectedRunMs = below(2) == 0 ? 60000 : 100;
        if (below(3) == 0)
            spec.queue.value = "second";
        submit(spec);
    }

    bool isAccepted(const job_name &job) const
    {
        const auto &[host, token] = m_tokens.at(job);
        const auto reply = host->replies.find(token);
        return reply != host->replies.end() && reply->second.outcome == job_outcome::accepted;
    }

    void cancelContinuous()
    {
        std::vector<job_name> jobs;
        for (const auto &[job, token] : m_tokens) {
            if (isContinuous(job) && m_cancelled.count(job) == 0)
                jobs.push_back(job);
        }
        if (jobs.size() <= 2)
            return;
        const job_name &job = jobs[std::size_t(below(std::int64_t(jobs.size())))];
        m_cancelled.insert(job);
        m_owner->call(job_call_kind::cancel, job);
        submitContinuous();
    }

    // Workers.

    fake_worker &addWorker()
    {
        fake_worker &worker = m_world.addWorker(fmt::format("w{}", m_world.workers.size()),
                                                fmt::format("rack-{}", below(2)),
                                                {4000 + 4000 * below(2), 64000, 0});
        worker.clockRate = 1 - maxClockSlowness * m_world.random.fraction();
        worker.info.service.value = m_world.workers.size() % 3 == 0 ? "other" : "pool";
        if (m_world.workers.size() % 4 == 0)
            worker.info.labels = {"b", "rack-0"};
        announce(worker);
        return worker;
    }

    void announce(const fake_worker &worker)
    {
        if (m_owner->isDead || !m_owner->core.isOwner() || !worker.isListed)
            return;
        m_owner->core.onWorker(m_world.now, worker.entry());
        m_owner->scheduleTick();
    }

    std::vector<fake_worker *> workersInUse()
    {
        std::vector<fake_worker *> workers;
        for (auto &[id, worker] : m_world.workers) {
            if (worker.isUp && worker.isListed && !worker.info.isDraining)
                workers.push_back(&worker);
        }
        return workers;
    }

    fake_worker &anyWorker()
    {
        const std::vector<fake_worker *> workers = workersInUse();
        return *workers[std::size_t(below(std::int64_t(workers.size())))];
    }

    // Up to half of the workers drain. Some announce when they leave, some stay longer, and some
    // go on after all. As many new ones are added meanwhile.
    void drainWorkers()
    {
        const std::int64_t count = 1 + below(std::int64_t(workersInUse().size()) / 2);
        for (std::int64_t i = 0; i<count &&int(workersInUse().size())> minWorkers / 2; ++i) {
            fake_worker &worker = anyWorker();
            const duration stay = 500ms + randomUpTo(5000);
            worker.info.isDraining = true;
            if (below(4) != 0)
                worker.info.leavesAtClockMs = worker.clockMs(m_world.now) + toMs(stay);
            announce(worker);
            const instant leavesAt = m_world.now + stay + (below(3) == 0 ? randomUpTo(3000) : 0ms);
            const bool goesOn = below(5) == 0;
            m_world.at(leavesAt, [this, &worker, goesOn] { endDrain(worker, goesOn); });
            m_world.at(m_world.now + randomUpTo(4000), [this] { addWorker(); });
        }
    }

    void endDrain(fake_worker &worker, bool goesOn)
    {
        if (!worker.isUp || !worker.isListed)
            return;
        worker.info.isDraining = false;
        worker.info.leavesAtClockMs.reset();
        if (goesOn) {
            announce(worker);
            return;
        }
        m_world.removeWorker(worker);
        m_owner->scheduleTick();
    }

    // One worker restarts, or is lost for good, noticed or not.
    void crashWorker()
    {
        fake_worker &worker = anyWorker();
        const std::int64_t kind = below(3);
        if (kind == 0) {
            worker.isUp = false;
            worker.runs.clear();
            worker.refusesConnections = below(2) == 0;
            m_world.at(m_world.now + restartTime,
                       [this, &worker] { m_world.restartWorker(worker); });
            return;
        }
        if (int(workersInUse().size()) <= minWorkers)
            return;
        m_world.removeWorker(worker);
        worker.refusesConnections = kind == 1;
        addWorker();
    }

    // Owners.

    void takeOver()
    {
        m_world.takeOver(*m_owner);
        for (auto &[id, worker] : m_world.workers) {
            if (worker.isUp)
                announce(worker);
        }
    }

    void changeOwner(bool isPlanned)
    {
        const instant limit = m_world.now + 1500ms;
        while (isPlanned && m_world.now < limit && !m_owner->core.prepareHandover(m_world.now))
            advance(10ms);
        if (isPlanned)
            m_owner->core.giveUp(m_world.now);
        m_owner->isDead = true;
        advance(isPlanned ? 50ms + randomUpTo(300) : duration(1200ms));
        m_owner = &m_world.addHost(fmt::format("host-{}", m_world.hosts.size()));
        takeOver();
    }

    // The queue goes to the other service, or back.
    void sendQueueElsewhere()
    {
        std::string &service = m_world.queues[1].service.value;
        service = service == "other" ? "pool" : "other";
        m_owner->core.setQueues(m_world.now, m_world.queues);
        m_owner->scheduleTick();
        // Starts that are on their way may still arrive, and count as those of the former service.
        advance(2 * messageDelay);
    }

    void change()
    {
        switch (below(8)) {
        case 0:
        case 1:
            drainWorkers();
            return;
        case 2:
            crashWorker();
            return;
        case 3:
            changeOwner(below(3) != 0);
            return;
        case 4:
            cancelContinuous();
            return;
        case 5:
            m_world.storeDelay = randomUpTo(200);
            return;
        default:
            addWorker();
        }
    }

    // The end.

    void endChanges()
    {
        m_world.lostResponseRate = 0;
        m_world.storeDelay = 0ms;
        for (int i = 0; i < 2 * workersAddedAtEnd; ++i) {
            fake_worker &worker = addWorker();
            worker.info.capacity.milliCores = 8000;
            worker.info.service.value = i % 2 == 0 ? "other" : "pool";
            worker.info.labels = {"a", "rack-0"};
        }
        for (auto &[id, worker] : m_world.workers) {
            if (worker.isUp)
                announce(worker);
        }
    }

    // All accepted work is done, or runs if it is to last.
    void checkTasks()
    {
        std::set<task_name> running;
        for (const auto &[id, worker] : m_world.workers) {
            for (const auto &[task, run] : worker.runs)
                running.insert(task);
        }
        for (const auto &[job, token] : m_tokens) {
            const step_spec &step = m_world.specs.at(job).steps[0];
            if (!isAccepted(job) || m_cancelled.count(job) != 0)
                continue;
            for (int i = 0; i < step.count; ++i) {
                const task_name task{job, 0, 0, i};
                const bool isInOrder
                    = step.isContinuous ? running.count(task) != 0 : m_world.done.count(task) != 0;
                EXPECT_TRUE(isInOrder) << toString(task);
            }
        }
    }

    // Once all jobs that last are cancelled, each worker can be filled to the last core.
    void checkRoom()
    {
        for (const auto &[job, token] : m_tokens) {
            if (isContinuous(job))
                m_owner->call(job_call_kind::cancel, job);
        }
        advance(10s);
        EXPECT_EQ(m_world.runningTasks(), 0U);
        std::int64_t halfCores = 0;
        for (const fake_worker *worker : workersInUse()) {
            if (worker->info.service.value == "pool")
                halfCores += worker->info.capacity.milliCores / 500;
        }
        job_spec spec = plainJob("cfill", int(halfCores));
        spec.steps[0].isContinuous = true;
        spec.steps[0].size.milliCores = 500;
        submit(spec);
        advance(3s);
        EXPECT_EQ(std::int64_t(m_world.runningTasks()), halfCores);
        EXPECT_EQ(m_world.violations, std::vector<std::string>());
    }

    scheduler_world m_world;
    fake_host *m_owner = nullptr;
    int m_jobs = 0;
    std::map<job_name, std::pair<fake_host *, call_token>> m_tokens; ///< Of the submissions.
    std::set<job_name> m_cancelled;
};

} // namespace

TEST(RandomClaims, BreakNoRuleAndLeaveNoRoomUnused)
{
    constexpr int seedsInCi = 30;
    const int first = numberFrom("CROCUSWIND_FIRST_SEED", 1);
    const int count = numberFrom("CROCUSWIND_SEEDS", seedsInCi);
    for (int seed = first; seed < first + count; ++seed) {
        SCOPED_TRACE(fmt::format("seed {}", seed));
        crowded_site(std::uint64_t(seed)).play();
    }
}
