// Guards against incidents that can't be explained: each continuous task that does not run for
// seconds is logged with what it waits for.

#include "failure/scheduler_departed_worker.h"

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

struct absent_tasks : departed_worker
{
    absent_tasks()
    {
        world.runTime = [](const task_name &) { return 1000s; };
        spec = submit(first, "a", 8, true);
        world.run(500ms);
    }

    void loseWorker()
    {
        lost = &firstBusyWorker();
        world.removeWorker(*lost);
        lost->refusesConnections = false;
    }

    // Returns true if the host logged an absence whose fields contain the text.
    static bool hasAbsence(const fake_host &host, const std::string &text)
    {
        return std::any_of(
            host.absences.begin(), host.absences.end(),
            [&](const std::string &fields) { return fields.find(text) != std::string::npos; });
    }

    job_spec spec;
    fake_worker *lost = nullptr;
};

} // namespace

TEST_F(absent_tasks, AreNotLoggedWhileAllRun)
{
    world.run(10s);
    EXPECT_EQ(first.absences, std::vector<std::string>());
}

TEST_F(absent_tasks, NameTheSilentWorkerOfALivingOwner)
{
    loseWorker();
    world.run(5s);
    EXPECT_TRUE(hasAbsence(first, "reason=silent_worker worker=" + lost->info.id.value));
    world.run(5s);
    ASSERT_EQ(runCount(spec), 8U);
    first.absences.clear();
    world.run(5s);
    EXPECT_EQ(first.absences, std::vector<std::string>());
}

TEST_F(absent_tasks, NameTheFormerWorkerThatANewOwnerWaitsFor)
{
    loseWorker();
    first.isDead = true;
    world.run(1s);
    world.takeOver(second);
    world.run(4500ms);
    EXPECT_TRUE(hasAbsence(second, "reason=unreported_worker worker=" + lost->info.id.value));
}

TEST_F(absent_tasks, SayThatNoWorkerHasRoom)
{
    submit(first, "b", 6, true);
    world.run(500ms);
    loseWorker();
    world.run(12s);
    EXPECT_TRUE(hasAbsence(first, "reason=no_worker"));
}

TEST_F(absent_tasks, SayThatStartsAreHeld)
{
    loseWorker();
    world.run(3s);
    world.isDiscoveryStale = true;
    world.run(6s);
    EXPECT_TRUE(hasAbsence(first, "reason=starts_held"));
}

// A large loss must not fill the log.
TEST_F(absent_tasks, AreLoggedInABoundedNumberOfLines)
{
    submit(first, "b", 8, true);
    world.run(500ms);
    for (auto &[id, worker] : world.workers) {
        world.removeWorker(worker);
        worker.refusesConnections = false;
    }
    world.run(6s);
    constexpr std::size_t reports = 4;
    EXPECT_GT(first.absences.size(), 0U);
    EXPECT_LE(first.absences.size(), reports * 8);
}
