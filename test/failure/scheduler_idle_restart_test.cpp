// Guards against starts on an idle worker that is back under its identifier as another kind, before
// the owner has noticed its restart: an idle worker is polled every 10 s only.

#include "correctness/scheduler_world.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

/// An owner and an idle worker that has just restarted, so that its entry is still the former one.
struct idle_restart : testing::Test
{
    idle_restart()
        : owner(world.addHost("host-1"))
        , worker(world.addWorker("w0", "rack-1", {8000, 8000, 0}))
    {
        world.runTime = [](const task_name &) { return 1000s; };
        world.takeOver(owner);
        world.run(200ms);
        worker.isUp = false;
        world.run(3500ms);
        world.restartWorker(worker);
    }

    void submit(const std::string &name, int tasks, const std::string &label = "")
    {
        job_spec spec = plainJob(name, tasks);
        spec.steps[0].requiredLabel = label;
        owner.call(job_call_kind::submit, spec.name, &spec);
    }

    scheduler_world world;
    fake_host &owner;
    fake_worker &worker;
};

} // namespace

TEST_F(idle_restart, StartsNothingByTheRoomOfTheFormerLife)
{
    worker.info.capacity = {3000, 8000, 0};
    submit("a", 20);
    world.run(5s);
    EXPECT_EQ(world.violations, std::vector<std::string>());
    EXPECT_EQ(worker.runs.size(), 3U);
}

TEST_F(idle_restart, StartsNothingByTheLabelsOfTheFormerLife)
{
    worker.info.labels = {"b", "rack-1"};
    submit("a", 2, "a");
    submit("b", 2, "b");
    world.run(5s);
    EXPECT_EQ(world.starts.count({{"a"}, 0, 0, 0}), 0U);
    EXPECT_EQ(worker.runs.size(), 2U);
}

TEST_F(idle_restart, StartsNothingByTheServiceOfTheFormerLife)
{
    worker.info.service.value = "other";
    submit("a", 2);
    world.run(5s);
    EXPECT_TRUE(world.starts.empty());
}
