// Guards against starts on a worker that is back under its identifier as another kind: its room,
// labels and service were still those of its former life.

#include "correctness/scheduler_world.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

/// An owner with a worker of eight cores and more waiting tasks than the worker can run.
struct mixed_lives : testing::Test
{
    mixed_lives()
        : owner(world.addHost("host-1"))
        , worker(world.addWorker("w0", "rack-1", {8000, 8000, 0}))
    {
        world.runTime = [](const task_name &) { return 1000s; };
        world.takeOver(owner);
        world.run(200ms);
    }

    void submit(const std::string &name, int tasks, const std::string &label = "")
    {
        job_spec spec = plainJob(name, tasks);
        spec.steps[0].requiredLabel = label;
        owner.call(job_call_kind::submit, spec.name, &spec);
    }

    // Returns how often tasks of the job have been started.
    int startsOf(const std::string &name) const
    {
        int sum = 0;
        for (const auto &[task, starts] : world.starts)
            sum += task.job.value == name ? starts : 0;
        return sum;
    }

    // The worker crashes and is back after the time that the platform's crashes last.
    void crashAndRestart()
    {
        worker.isUp = false;
        world.run(3500ms);
        world.restartWorker(worker);
    }

    scheduler_world world;
    fake_host &owner;
    fake_worker &worker;
};

} // namespace

// It answered polls before its entry arrived, and was filled by the larger room of its former life.
TEST_F(mixed_lives, StartsNothingByTheRoomOfTheFormerLife)
{
    submit("a", 20);
    world.run(500ms);
    ASSERT_EQ(worker.runs.size(), 8U);
    crashAndRestart();
    worker.info.capacity = {3000, 8000, 0};
    world.run(5s);
    EXPECT_EQ(world.violations, std::vector<std::string>());
    EXPECT_EQ(worker.runs.size(), 3U);
}

// A new owner reads the entry of the former life, and the first report names the new one.
TEST_F(mixed_lives, StartsNothingByTheRoomOfTheFormerLifeAfterATakeover)
{
    submit("a", 20);
    world.run(500ms);
    worker.isUp = false;
    owner.isDead = true;
    world.run(3500ms);
    world.restartWorker(worker);
    worker.info.capacity = {3000, 8000, 0};
    world.takeOver(world.addHost("host-2"));
    world.run(15s);
    EXPECT_EQ(world.violations, std::vector<std::string>());
    EXPECT_EQ(worker.runs.size(), 3U);
}

// The worker is polled while it is down, because it runs a task, so its first report comes at once.
TEST_F(mixed_lives, StartsNothingByTheLabelsOfTheFormerLife)
{
    submit("running", 1);
    world.run(500ms);
    crashAndRestart();
    worker.info.labels = {"b", "rack-1"};
    submit("a", 2, "a");
    submit("b", 2, "b");
    world.run(5s);
    EXPECT_EQ(startsOf("a"), 0);
    EXPECT_EQ(startsOf("b"), 2);
}

TEST_F(mixed_lives, StartsNothingByTheServiceOfTheFormerLife)
{
    submit("running", 1);
    world.run(500ms);
    crashAndRestart();
    worker.info.service.value = "other";
    submit("a", 2);
    world.run(5s);
    EXPECT_EQ(startsOf("a"), 0);
    EXPECT_EQ(startsOf("running"), 1);
}

// A report of the former life that arrives after the entry of the new one restores nothing of it.
TEST_F(mixed_lives, StartsNothingByAnEntryThatIsNewerThanTheReport)
{
    worker_info later = worker.info;
    later.incarnationStartUnixMs += 60000;
    later.labels = {"b", "rack-1"};
    owner.core.onWorker(world.now, later);
    owner.scheduleTick();
    submit("b", 2, "b");
    world.run(1s);
    EXPECT_TRUE(world.starts.empty());
}

// An entry or reports of another writer may name no life. Such a worker is used as it always was.
TEST_F(mixed_lives, UsesAWorkerWhoseEntryNamesNoLife)
{
    worker_info unnamed = worker.info;
    unnamed.incarnationStartUnixMs = 0;
    owner.core.onWorker(world.now, unnamed);
    owner.scheduleTick();
    submit("a", 2);
    world.run(1s);
    EXPECT_EQ(worker.runs.size(), 2U);
}

TEST_F(mixed_lives, UsesAWorkerWhoseReportsNameNoLife)
{
    worker.reportsItsLife = false;
    submit("a", 2);
    world.run(1s);
    EXPECT_EQ(worker.runs.size(), 2U);
}

// Work of a crashed worker that is the only one runs again soon after its entry has arrived.
TEST_F(mixed_lives, StartsAgainOnceTheEntryNamesTheNewLife)
{
    submit("a", 8);
    world.run(500ms);
    crashAndRestart();
    world.run(checkInDelay + 500ms);
    EXPECT_EQ(worker.runs.size(), 8U);
}
