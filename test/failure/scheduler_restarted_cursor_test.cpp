// Guards against polls that make a restarted worker forget the completion of a run that nobody has
// heard of, so that the task runs again.

#include "correctness/scheduler_world.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

/// When a worker is cut off, restarts behind the cut and is reached again, and when jobs come.
struct restart_behind_cut
{
    duration cutAt;
    duration restartAfter; ///< From the beginning of the cut.
    duration cutFor;
    std::vector<duration> jobsAt;
    duration runTime;
};

/// An owner and one worker that has run and acknowledged a task.
struct restarted_cursor : testing::Test
{
    restarted_cursor()
        : owner(world.addHost("host-1"))
        , worker(world.addWorker("w0", "rack-1", {8000, 8000, 0}))
    {
        world.runTime = [this](const task_name &) { return runTime; };
        world.takeOver(owner);
        world.run(200ms);
        submit();
        world.run(2s);
    }

    void submit()
    {
        const job_spec spec = plainJob("job-" + std::to_string(++jobs), 1);
        owner.call(job_call_kind::submit, spec.name, &spec);
    }

    // Runs until the worker has just answered a poll.
    void runUntilPolled()
    {
        const std::int64_t before = owner.core.counters().polls;
        while (owner.core.counters().polls == before)
            world.run(1ms);
        world.run(3 * messageDelay);
    }

    // Plays the restart, and runs until all jobs must have ended.
    void play(const restart_behind_cut &trouble)
    {
        const instant begin = world.now;
        runTime = trouble.runTime;
        world.at(begin + trouble.cutAt, [this] { owner.unreachableWorkers = {worker.info.id}; });
        world.at(begin + trouble.cutAt + trouble.restartAfter,
                 [this] { world.restartWorker(worker); });
        world.at(begin + trouble.cutAt + trouble.cutFor,
                 [this] { owner.unreachableWorkers.clear(); });
        for (const duration time : trouble.jobsAt)
            world.at(begin + time, [this] { submit(); });
        world.run(20s);
    }

    scheduler_world world;
    fake_host &owner;
    fake_worker &worker;
    duration runTime = 300ms;
    int jobs = 0;
};

} // namespace

// The start of one job gets no answer. The poll that follows reaches the new life of the worker and
// waits there while a task of another job runs and ends.
TEST_F(restarted_cursor, ForgetsNoCompletionAfterAnUnansweredStart)
{
    runUntilPolled();
    play({0ms, 600ms, 700ms, {5ms, 950ms}, 300ms});
    EXPECT_EQ(world.violations, std::vector<std::string>());
    EXPECT_EQ(world.done.size(), 3U);
}

// The same with a cut, a restart and jobs at random times.
TEST(restarted_cursor_at_random, ForgetsNoCompletion)
{
    constexpr std::uint64_t seeds = 600;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        seeded_random random(seed);
        const auto upTo
            = [&](int limitMs) { return int(random.below(std::uint64_t(limitMs))) * 1ms; };
        restart_behind_cut trouble;
        trouble.cutAt = 500ms + upTo(1500);
        trouble.restartAfter = upTo(800);
        trouble.cutFor = trouble.restartAfter + upTo(800);
        trouble.runTime = 20ms + upTo(600);
        for (int job = 0; job < 12; ++job)
            trouble.jobsAt.push_back(upTo(4000));
        struct played final : restarted_cursor
        {
            void TestBody() override { }
        } test;
        test.play(trouble);
        EXPECT_EQ(test.world.violations, std::vector<std::string>()) << "seed " << seed;
        EXPECT_EQ(test.world.done.size(), 13U) << "seed " << seed;
    }
}
