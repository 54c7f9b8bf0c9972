// Guards against jobs that are accepted under load and done when they are of no use any more. The
// bounds come from what callers need; KNOWN-RED.txt tells how far they are missed.

#include "correctness/scheduler_overloaded_queue.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

TEST(Overload, MostOfTheWorkThatThereIsRoomForIsInTimeInABurst)
{
    overloaded_queue queue;
    submitBurst(queue);
    queue.run(20s);
    const auto all = queue.count();
    print("burst", all);
    print("burst, largest", queue.count(overloaded_queue::maxTasks));
    EXPECT_GE(all.inTime, 200);
    EXPECT_EQ(all.useless, 0);
    EXPECT_EQ(queue.world.violations, std::vector<std::string>());
}

// The load is above the room for so long that late work cannot be done either.
TEST(Overload, JobsThatWouldBeUselessAreRefusedWithASpreadDelay)
{
    overloaded_queue queue;
    queue.submitFor(30s, 30);
    queue.run(40s);
    const auto all = queue.count();
    print("steady", all);
    print("steady, largest", queue.count(overloaded_queue::maxTasks));
    EXPECT_GT(all.refused, 100);
    EXPECT_LT(all.useless * 20, all.all());
    std::set<std::int64_t> delays;
    for (std::size_t i = 0; i < queue.jobs.size(); ++i) {
        if (queue.isRefused(i))
            delays.insert(queue.owner->replies.at(queue.jobs[i].submission).retryAfterMs);
    }
    EXPECT_GE(delays.size(), 3U);
    EXPECT_GE(*delays.begin(), 1000);
    EXPECT_EQ(all.refused, queue.owner->core.counters().refusedForLoad);
}
