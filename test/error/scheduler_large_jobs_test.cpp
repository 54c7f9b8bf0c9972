// Guards against jobs that are accepted although an owner can't hold their tasks in memory.

#include "correctness/scheduler_world.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

constexpr int largeStep = 2000;

/// An owner without workers, so that no task starts.
struct large_jobs : testing::Test
{
    large_jobs()
        : owner(world.addHost("host-1"))
    {
        world.takeOver(owner);
        world.run(200ms);
    }

    job_reply submit(const job_spec &spec)
    {
        const call_token token = owner.call(job_call_kind::submit, spec.name, &spec);
        world.run(50ms);
        return owner.replies.at(token);
    }

    job_spec jobOf(int steps, int tasks)
    {
        job_spec spec = plainJob("a", tasks);
        spec.steps.resize(std::size_t(steps), spec.steps[0]);
        return spec;
    }

    scheduler_world world;
    fake_host &owner;
};

} // namespace

TEST_F(large_jobs, AJobOfTooManyTasksIsRefusedWithAReason)
{
    const job_reply reply = submit(jobOf(11, largeStep));
    EXPECT_EQ(reply.outcome, job_outcome::refused);
    EXPECT_NE(reply.reason.find("22000 tasks"), std::string::npos) << reply.reason;
    EXPECT_EQ(reply.retryAfterMs, 0);
    EXPECT_TRUE(world.store.count("cw/job/a") == 0);
}

TEST_F(large_jobs, TheLargestJobIsAccepted)
{
    EXPECT_EQ(submit(jobOf(10, largeStep)).outcome, job_outcome::accepted);
}

// Its tasks never end, so that those of all occurrences are due at last.
TEST_F(large_jobs, RepeatedContinuousTasksCountTogether)
{
    job_spec spec = jobOf(1, 100);
    spec.steps[0].isContinuous = true;
    spec.scheduledOccurrences = 201;
    EXPECT_EQ(submit(spec).outcome, job_outcome::refused);
    spec.scheduledOccurrences = 200;
    EXPECT_EQ(submit(spec).outcome, job_outcome::accepted);
}

// Tasks of other repetitions are created as earlier ones end.
TEST_F(large_jobs, RepeatedFiniteTasksDoNotCountTogether)
{
    job_spec spec = jobOf(1, largeStep);
    spec.scheduledOccurrences = 1000;
    EXPECT_EQ(submit(spec).outcome, job_outcome::accepted);
}

// An earlier build may have accepted it: what was accepted is kept.
TEST_F(large_jobs, AStoredJobOfTooManyTasksIsKept)
{
    job_record job;
    job.spec = jobOf(64, largeStep);
    job.acceptedUnixMs = world.unixMs();
    world.store["cw/job/a"] = encodeAcceptance(job);
    fake_host &successor = world.addHost("host-2");
    owner.isDead = true;
    world.run(1s);
    world.takeOver(successor);
    const call_token token = successor.call(job_call_kind::query, job.spec.name);
    EXPECT_EQ(successor.replies.at(token).outcome, job_outcome::found);
}
