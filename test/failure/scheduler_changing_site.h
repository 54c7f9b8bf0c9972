/// Plays random planned changes of workers and owners and checks that continuous tasks run again in
/// time.
#ifndef CROCUSWIND_TEST_SCHEDULER_CHANGING_SITE_H
#define CROCUSWIND_TEST_SCHEDULER_CHANGING_SITE_H

#include "correctness/scheduler_world.h"

#include <gtest/gtest.h>

namespace crocuswind::scheduler {

/// A continuous task must run again at most this long after its last run ended, or after the last
/// unplanned change if that was later: 6 s, and 3 s until its absence counts.
constexpr duration longestAbsence = 9s;
/// Only an owner that has served for this long is expected to have started all tasks.
constexpr duration minService = 1s;
/// Between groups of at most two unplanned changes, only planned ones happen for this long.
constexpr duration calmBetweenGroups = 10s;
constexpr int maxUnplannedPerGroup = 2;
constexpr int tasksPerJob = 8;
constexpr duration checkInterval = 100ms;
constexpr duration planLength = 40s;

/// Random planned changes of workers and owners, and few unplanned ones, with the checks.
class changing_site
{
public:
    explicit changing_site(std::uint64_t seed)
        : m_world(seed)
    {
        m_world.runTime = [](const task_name &task) {
            return isContinuous(task.job) ? duration(1000s) : duration(400ms + task.index * 600ms);
        };
        for (int i = 0; i < 8; ++i)
            addWorker();
        for (int i = 0; i < 3; ++i)
            m_standby.push_back(&addHost());
        takeOver(nextHost());
        advance(200ms);
        for (const char *name : {"c0", "c1", "c2"})
            submit(name, tasksPerJob);
        advance(1s);
    }

    void play()
    {
        const instant end = m_world.now + planLength;
        while (m_world.now < end) {
            advance(100ms + randomUpTo(1500));
            submit(fmt::format("f{}", ++m_finiteJobs), 3);
            const std::uint64_t action = m_world.random.below(10);
            if (action < 6)
                releaseWorkers();
            if (action < 4)
                advance(randomUpTo(2600)); // Owners change while the workers leave, or soon after.
            if (action < 9 && action != 5)
                rollOwners();
            else if (action == 9 && mayChangeUnplanned())
                killOwner();
        }
        advance(calmBetweenGroups);
    }

    const std::vector<std::string> &violations() const { return m_world.violations; }
    const std::vector<std::string> &absences() const { return m_absences; }

    /// Returns the number of tasks of which a run was observed.
    std::size_t tasksSeen() const { return m_absentSince.size(); }

private:
    static bool isContinuous(const job_name &job) { return job.value[0] == 'c'; }

    duration randomUpTo(std::uint64_t ms) { return m_world.random.below(ms + 1) * 1ms; }

    fake_host &addHost() { return m_world.addHost(fmt::format("host-{}", m_world.hosts.size())); }

    void submit(const std::string &name, int tasks)
    {
        job_spec spec = plainJob(name, tasks);
        spec.steps[0].isContinuous = isContinuous(spec.name);
        m_owner->call(job_call_kind::submit, spec.name, &spec);
    }

    // Runs the simulation and checks it at a fixed interval.
    void advance(duration d)
    {
        const instant until = m_world.now + d;
        while (m_nextCheckAt <= until) {
            m_world.run(m_nextCheckAt - m_world.now);
            check();
            m_nextCheckAt += checkInterval;
        }
        m_world.run(until - m_world.now);
    }

    void check()
    {
        std::set<task_name> running;
        for (auto &[id, worker] : m_world.workers) {
            m_world.endDueRuns(worker);
            if (!worker.isUp)
                continue;
            for (const auto &[task, run] : worker.runs) {
                if (isContinuous(task.job))
                    running.insert(task);
            }
        }
        for (const task_name &task : running)
            m_absentSince[task].reset();
        const bool isServed = m_servesSince && m_world.now - *m_servesSince >= minService;
        for (auto &[task, since] : m_absentSince) {
            if (running.count(task) != 0)
                continue;
            if (!since)
                since = m_world.now;
            const duration absence = m_world.now - std::max(*since, m_lastUnplannedAt);
            if (isServed && absence > longestAbsence)
                m_absences.push_back(fmt::format("at {} ms: {} has had no run since {} ms",
                                                 toMs(m_world.now - instant(1000s)), toString(task),
                                                 toMs(*since - instant(1000s))));
        }
    }

    // Workers.

    void addWorker()
    {
        fake_worker &worker = m_world.addWorker(fmt::format("w{}", m_world.workers.size()),
                                                "rack-1", {8000, 16000, 0});
        worker.clockRate = 1 - maxClockSlowness * m_world.random.fraction();
        announce(worker);
    }

    // Service discovery shows the worker's entry to the owner.
    void announce(const fake_worker &worker)
    {
        for (const auto &host : m_world.hosts) {
            if (host->isDead || !host->core.isOwner())
                continue;
            host->core.onWorker(m_world.now, worker.info);
            host->scheduleTick();
        }
    }

    // One or two workers drain, leave for good with whatever runs there, and are replaced. No more
    // than two drain at a time.
    void releaseWorkers()
    {
        std::vector<fake_worker *> candidates;
        int draining = 0;
        for (auto &[id, worker] : m_world.workers) {
            if (worker.isListed && !worker.info.isDraining)
                candidates.push_back(&worker);
            draining += worker.isListed && worker.info.isDraining ? 1 : 0;
        }
        const int count = 1 + int(m_world.random.below(2));
        for (int i = draining; i < count; ++i) {
            const std::size_t chosen = m_world.random.below(candidates.size());
            fake_worker &worker = *candidates[chosen];
            candidates.erase(candidates.begin() + std::ptrdiff_t(chosen));
            worker.info.isDraining = true;
            announce(worker);
            const bool refusesConnections = m_world.random.below(2) == 0;
            m_world.at(m_world.now + 2s + randomUpTo(600), [this, &worker, refusesConnections] {
                m_world.removeWorker(worker);
                worker.refusesConnections = refusesConnections;
            });
            m_world.at(m_world.now + randomUpTo(800), [this] { addWorker(); });
        }
    }

    // Owners.

    // Returns a host that has never owned the jobs. Some did not watch earlier owners.
    fake_host &nextHost()
    {
        if (m_world.random.below(2) == 0)
            return addHost();
        fake_host &host = *m_standby.front();
        m_standby.erase(m_standby.begin());
        m_standby.push_back(&addHost());
        return host;
    }

    void takeOver(fake_host &host)
    {
        m_owner = &host;
        m_world.takeOver(host);
        m_servesSince = m_world.now;
    }

    // Stops the owner as planned. Some of the next ones are elected but never serve.
    void rollOwner()
    {
        m_servesSince.reset();
        while (!m_owner->core.prepareHandover(m_world.now))
            advance(10ms);
        m_owner->core.giveUp(m_world.now);
        m_owner->isDead = true;
        fake_host *const earlyNext = m_world.random.below(2) == 0 ? &nextHost() : nullptr;
        advance(100ms + randomUpTo(300));
        while (m_world.random.below(4) == 0) {
            m_world.elect();
            advance(100ms + randomUpTo(300));
        }
        takeOver(earlyNext != nullptr ? *earlyNext : nextHost());
    }

    // Rolls up to six owners in a row; each serves for a short time only.
    void rollOwners()
    {
        rollOwner();
        for (int i = 0; i < 5 && m_world.random.below(4) != 0; ++i) {
            const bool isQuick = m_world.random.below(4) != 0;
            advance(isQuick ? 20ms + randomUpTo(280) : 500ms + randomUpTo(1500));
            rollOwner();
        }
    }

    bool mayChangeUnplanned() const
    {
        if (m_world.now - m_lastUnplannedAt >= calmBetweenGroups)
            return true;
        return m_unplannedInGroup < maxUnplannedPerGroup
            && m_world.now - m_groupBeganAt < calmBetweenGroups;
    }

    void killOwner()
    {
        if (m_world.now - m_lastUnplannedAt >= calmBetweenGroups) {
            m_groupBeganAt = m_world.now;
            m_unplannedInGroup = 0;
        }
        ++m_unplannedInGroup;
        m_lastUnplannedAt = m_world.now;
        m_servesSince.reset();
        m_owner->isDead = true;
        fake_host &next = nextHost();
        advance(1200ms);
        takeOver(next);
    }

    scheduler_world m_world;
    std::vector<fake_host *> m_standby;
    fake_host *m_owner = nullptr;
    std::optional<instant> m_servesSince; ///< Since when the owner serves; nothing without one.
    instant m_lastUnplannedAt;
    instant m_groupBeganAt;
    int m_unplannedInGroup = 0;
    int m_finiteJobs = 0;
    instant m_nextCheckAt = m_world.now;
    /// The continuous tasks that have run, with the first check since their last run.
    std::map<task_name, std::optional<instant>> m_absentSince;
    std::vector<std::string> m_absences; ///< Absences that are longer than allowed.
};

/// Plays the seed. No task may run twice at the same time, and none may be absent for too long.
inline void playPlannedChanges(int seed)
{
    changing_site site(std::uint64_t(seed) + 41000);
    ASSERT_EQ(site.tasksSeen(), std::size_t(3 * tasksPerJob)) << "seed " << seed;
    site.play();
    EXPECT_EQ(site.violations(), std::vector<std::string>()) << "seed " << seed;
    EXPECT_TRUE(site.absences().empty())
        << "seed " << seed << ": " << site.absences().front() << ", and "
        << site.absences().size() - 1 << " further checks failed";
}

} // namespace crocuswind::scheduler

#endif
