/// Plays random restarts of workers that are cut off soon after, and checks that no task runs
/// twice.
#ifndef CROCUSWIND_TEST_SCHEDULER_RESTARTING_SITE_H
#define CROCUSWIND_TEST_SCHEDULER_RESTARTING_SITE_H

#include "correctness/scheduler_world.h"

#include <gtest/gtest.h>

namespace crocuswind::scheduler {

/// Time from the loss of an owner until the next one has read the records.
constexpr duration electionTime = 1200ms;

/// Finite tasks on four workers. One worker after the other restarts and is cut off.
class restarting_site
{
public:
    explicit restarting_site(std::uint64_t seed)
        : m_random(seed)
        , world(seed)
    {
        for (int i = 0; i < 3; ++i)
            world.addHost(fmt::format("host-{}", i));
        for (int i = 0; i < 4; ++i)
            world.addWorker(fmt::format("w{}", i), "rack-1", {8000, 64000, 0});
        world.runTime = [this](const task_name &) { return 300ms + upTo(14000); };
        world.delayedCommandsOutliveRestarts = true;
        world.takeOver(owner());
        world.run(200ms);
    }

    void play(double lateShare)
    {
        world.delayedCommandRate = lateShare;
        world.lostResponseRate = m_random.below(2) == 0 ? 0 : 0.2 * m_random.fraction();
        const instant begin = world.now;
        for (int job = 0; job < 40; ++job)
            world.at(begin + upTo(30000), [this] { submit(); });
        for (instant time = begin + 2s + upTo(3000); time < begin + 24s; time += 2s + upTo(6000))
            world.at(time, [this] { restartAndCut(); });
        if (m_random.below(2) == 0)
            world.at(begin + 3s + upTo(15000), [this] { killOwner(); });
        world.run(60s);
    }

private:
    duration upTo(int limitMs) { return int(m_random.below(std::uint64_t(limitMs))) * 1ms; }

    fake_host &owner() { return *world.hosts[m_owner]; }

    void submit()
    {
        if (owner().isDead)
            return;
        const job_spec spec = plainJob(fmt::format("job-{}", m_jobs++), 1 + int(m_random.below(3)));
        owner().call(job_call_kind::submit, spec.name, &spec);
    }

    // Takes a worker down for a short time, and cuts it off soon after it is back.
    void restartAndCut()
    {
        auto entry = world.workers.begin();
        std::advance(entry, std::ptrdiff_t(m_random.below(world.workers.size())));
        fake_worker &worker = entry->second;
        if (!worker.isUp)
            return;
        worker.isUp = false;
        worker.refusesConnections = m_random.below(2) == 0;
        const instant back = world.now + upTo(1400);
        const instant cut = back + upTo(2500);
        const instant healed = cut + 1s + upTo(14000);
        const bool isCutFromStore = m_random.below(2) == 0;
        world.at(back, [this, &worker] { world.restartWorker(worker); });
        world.at(cut, [this, &worker, isCutFromStore] { setCut(worker, true, isCutFromStore); });
        world.at(healed, [this, &worker] { setCut(worker, false, false); });
    }

    void setCut(fake_worker &worker, bool isCut, bool isCutFromStore)
    {
        worker.reachesStore = !isCutFromStore;
        for (const auto &host : world.hosts) {
            if (isCut)
                host->unreachableWorkers.insert(worker.info.id);
            else
                host->unreachableWorkers.erase(worker.info.id);
        }
    }

    void killOwner()
    {
        owner().isDead = true;
        world.at(world.now + electionTime, [this] {
            ++m_owner;
            world.takeOver(owner());
        });
    }

    seeded_random m_random;
    std::size_t m_owner = 0;
    int m_jobs = 0;

public:
    scheduler_world world;
};

/// Plays the seed. The given share of commands is carried out late. No task may run twice at the
/// same time.
inline void playRestarts(int seed, double lateShare)
{
    restarting_site site{std::uint64_t(seed)};
    site.play(lateShare);
    EXPECT_EQ(site.world.violations, std::vector<std::string>()) << "seed " << seed;
}

} // namespace crocuswind::scheduler

#endif
