// Guards against jobs that count as begun because a start was sent for them, although no run of
// them ever began: callers were told that too few jobs wait.

#include "correctness/scheduler_world.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

/// An owner with one worker of four cores.
struct waiting_count : testing::Test
{
    waiting_count()
        : owner(world.addHost("host-1"))
        , worker(world.addWorker("w0", "rack-1", {4000, 8000, 0}))
    {
        world.runTime = [](const task_name &) { return 1000s; };
        world.takeOver(owner);
        world.run(200ms);
    }

    // Submits jobs of one task each.
    void submit(int jobs)
    {
        for (int i = 0; i < jobs; ++i) {
            const job_spec spec = plainJob(fmt::format("job-{}", i), 1);
            owner.call(job_call_kind::submit, spec.name, &spec);
        }
    }

    std::int64_t count(fake_host &asked)
    {
        return asked.replies.at(asked.call(job_call_kind::count_waiting, {})).waitingJobs;
    }

    job_status status(fake_host &asked, const std::string &name)
    {
        return asked.replies.at(asked.call(job_call_kind::query, job_name{name})).status;
    }

    scheduler_world world;
    fake_host &owner;
    fake_worker &worker;
};

} // namespace

TEST_F(waiting_count, IncludesJobsWhoseStartWasRefused)
{
    worker.isUp = false;
    worker.refusesConnections = true;
    submit(4);
    world.run(5s);
    ASSERT_TRUE(world.starts.empty());
    EXPECT_EQ(count(owner), 4);
    EXPECT_EQ(status(owner, "job-0"), job_status::queued);
}

TEST_F(waiting_count, IncludesJobsWhoseStartGotNoAnswer)
{
    worker.isUp = false;
    submit(4);
    world.run(20s);
    ASSERT_TRUE(world.starts.empty());
    EXPECT_EQ(count(owner), 4);
}

TEST_F(waiting_count, ExcludesJobsWhoseStartWasCarriedOutWithoutAnAnswer)
{
    world.lostResponseRate = 1;
    submit(4);
    world.run(200ms);
    ASSERT_EQ(world.starts.size(), 4U);
    world.lostResponseRate = 0;
    world.run(3s);
    EXPECT_EQ(count(owner), 0);
    EXPECT_EQ(status(owner, "job-0"), job_status::running);
}

TEST_F(waiting_count, ExcludesJobsWhoseRunsWereLost)
{
    submit(4);
    world.run(500ms);
    ASSERT_EQ(count(owner), 0);
    world.removeWorker(worker);
    world.run(10s);
    EXPECT_EQ(count(owner), 0);
}

TEST_F(waiting_count, ExcludesInheritedJobsThatRun)
{
    submit(4);
    world.run(500ms);
    owner.isDead = true;
    fake_host &second = world.addHost("host-2");
    world.takeOver(second);
    world.run(500ms);
    EXPECT_EQ(count(second), 0);
    EXPECT_EQ(status(second, "job-0"), job_status::running);
}
