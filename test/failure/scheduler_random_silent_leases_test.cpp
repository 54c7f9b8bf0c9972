// Guards against tasks that run twice because owners in turn, under random faults, misjudge for how
// long the lease of a silent worker may still last.

#include "correctness/scheduler_world.h"

#include <cstdlib>
#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

// CROCUSWIND_SEEDS sets the number of seeds for a longer run by hand.
int seedCount()
{
    constexpr int seedsInCi = 150;
    const char *given = std::getenv("CROCUSWIND_SEEDS");
    return given == nullptr ? seedsInCi : std::atoi(given);
}

// Ends the worker's process, which is back under the same id as soon as it can be.
void crashWorker(scheduler_world &world, fake_worker &worker)
{
    if (!worker.isUp)
        return;
    worker.runs.clear();
    worker.isUp = false;
    worker.refusesConnections = true;
    world.at(world.now + sameIncarnationLimit + 1ms, [&] { world.restartWorker(worker); });
}

} // namespace

// Random partitions between hosts and workers, crashes of workers, outages of the store, and
// changes of the owner. No task may run twice at the same time.
TEST(SilentLease, RandomFaultsDuplicateNoRun)
{
    for (int seed = 1; seed <= seedCount(); ++seed) {
        scheduler_world world(std::uint64_t(seed) + 7000);
        world.delayedCommandRate = 0.02;
        world.lostResponseRate = 0.05;
        world.runTime = [](const task_name &) { return 1000s; };
        for (int i = 0; i < 5; ++i) {
            fake_worker &worker = world.addWorker(fmt::format("w{}", i), "r", {4000, 8000, 0});
            worker.clockRate = 1 - 0.02 * world.random.fraction();
        }
        constexpr int hosts = 16;
        for (int i = 0; i < hosts; ++i)
            world.addHost(fmt::format("host-{}", i));
        std::size_t owning = 0;
        fake_host *owner = world.hosts[owning].get();
        world.takeOver(*owner);
        world.run(200ms);
        job_spec spec = plainJob("a", 12);
        spec.steps[0].isContinuous = true;
        owner->call(job_call_kind::submit, spec.name, &spec);
        for (int step = 0; step < 60; ++step) {
            world.run(100ms + world.random.below(900) * 1ms);
            for (const auto &host : world.hosts) {
                host->unreachableWorkers.clear();
                for (const auto &[id, worker] : world.workers) {
                    if (world.random.below(4) == 0)
                        host->unreachableWorkers.insert(id);
                }
            }
            world.isStoreDown = world.random.below(6) == 0;
            if (world.random.below(5) != 0 || owning + 1 == world.hosts.size())
                continue;
            // The former owner is killed, or cut off from the store and serves on for a while.
            owner->isDead = world.random.below(2) == 0;
            owner->isStoreUnreachable = true;
            owner = world.hosts[++owning].get();
            world.isStoreDown = false;
            world.run(300ms);
            world.takeOver(*owner);
        }
        EXPECT_EQ(world.violations, std::vector<std::string>()) << "seed " << seed;
    }
}

// Owners that have just started date what they read by the clocks of workers, which are slow,
// restart and lose commands. No task may run twice at the same time.
TEST(SilentLease, LateReadersDuplicateNoRun)
{
    for (int seed = 1; seed <= seedCount(); ++seed) {
        scheduler_world world(std::uint64_t(seed) + 44000);
        world.delayedCommandRate = 0.02;
        world.lostResponseRate = 0.05;
        world.runTime = [](const task_name &) { return 1000s; };
        for (int i = 0; i < 6; ++i) {
            fake_worker &worker = world.addWorker(fmt::format("w{}", i), "r", {4000, 8000, 0});
            worker.clockRate = 1 - maxClockSlowness * world.random.fraction();
        }
        fake_host *owner = &world.addHost("host");
        world.takeOver(*owner);
        world.run(200ms);
        job_spec spec = plainJob("a", 12);
        spec.steps[0].isContinuous = true;
        owner->call(job_call_kind::submit, spec.name, &spec);
        world.run(1s);
        const worker_id cutOff{fmt::format("w{}", world.random.below(6))};
        for (int step = 0; step < 40; ++step) {
            const bool isCutOff = step % 10 < 7; // From all owners, while it runs on.
            for (const auto &host : world.hosts) {
                host->unreachableWorkers.clear();
                if (isCutOff)
                    host->unreachableWorkers = {cutOff};
                const worker_id other{fmt::format("w{}", world.random.below(6))};
                if (world.random.below(3) == 0)
                    host->unreachableWorkers.insert(other);
            }
            if (world.random.below(12) == 0)
                crashWorker(world, world.workers.at({fmt::format("w{}", world.random.below(6))}));
            world.run(20ms + world.random.below(700) * 1ms);
            if (world.random.below(2) == 0)
                continue;
            for (int i = 0; i < 50 && !owner->core.prepareHandover(world.now); ++i)
                world.run(10ms);
            owner->core.giveUp(world.now);
            owner->isDead = true;
            world.run(100ms + world.random.below(300) * 1ms);
            if (world.random.below(2) == 0) {
                world.elect();
                world.run(100ms + world.random.below(300) * 1ms);
            }
            owner = &world.addHost(fmt::format("host-{}", step));
            if (isCutOff)
                owner->unreachableWorkers = {cutOff};
            world.takeOver(*owner);
        }
        EXPECT_EQ(world.violations, std::vector<std::string>()) << "seed " << seed;
    }
}
