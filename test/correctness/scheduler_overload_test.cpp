// Guards against jobs that are nearly all a little late, or accepted and done when they are of no
// use any more, while there is too little room.

#include "correctness/scheduler_overloaded_queue.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

// 2.5 times the load of the queue for six seconds, between a usual load.
void submitBurst(overloaded_queue &queue)
{
    queue.submitFor(4s, 8);
    queue.submitFor(6s, 20);
    queue.submitFor(10s, 8);
}

// A third of the workers goes in the middle of a usual load and stays away.
void submitWhileEvacuated(overloaded_queue &queue)
{
    queue.submitFor(4s, 10);
    queue.owner->core.setEvacuatedDataCentres(queue.world.now, {data_centre_id{"dc-1"}});
    queue.submitFor(16s, 10);
}

void print(const char *what, const overloaded_queue::outcome &o)
{
    fmt::print("{}: in time {}, late {}, useless {}, refused {} of {}\n", what, o.inTime, o.late,
               o.useless, o.refused, o.all());
}

} // namespace

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

TEST(Overload, MostOfTheWorkThatThereIsRoomForIsInTimeWithAThirdOfTheWorkersAway)
{
    overloaded_queue queue;
    submitWhileEvacuated(queue);
    queue.run(20s);
    const auto all = queue.count();
    print("evacuated", all);
    print("evacuated, largest", queue.count(overloaded_queue::maxTasks));
    EXPECT_GE(all.inTime, 150);
    EXPECT_EQ(all.useless, 0);
}

TEST(Overload, TheLargestJobsAreServedAtLeastHalfAsOftenAsAll)
{
    overloaded_queue queue;
    submitBurst(queue);
    submitBurst(queue);
    queue.run(30s);
    const auto all = queue.count();
    const auto largest = queue.count(overloaded_queue::maxTasks);
    print("two bursts", all);
    print("two bursts, largest", largest);
    EXPECT_GE(2 * largest.served() * all.all(), all.served() * largest.all());
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

TEST(Overload, JobsOfTheEarliestPriorityAreNeverRefused)
{
    overloaded_queue queue;
    queue.world.queues.back().priority = 0;
    queue.owner->core.setQueues(queue.world.now, queue.world.queues);
    queue.submitFor(30s, 30);
    EXPECT_EQ(queue.owner->core.counters().refused, 0);
}

TEST(Overload, BeginsAndEndsInTheLog)
{
    overloaded_queue queue;
    submitBurst(queue);
    queue.run(20s);
    const auto &events = queue.owner->events;
    EXPECT_GE(std::count(events.begin(), events.end(), "overload_begun"), 1);
    EXPECT_EQ(std::count(events.begin(), events.end(), "overload_begun"),
              std::count(events.begin(), events.end(), "overload_ended"));
    EXPECT_EQ(queue.owner->core.counters().jobsGivenUp, 0);
}
