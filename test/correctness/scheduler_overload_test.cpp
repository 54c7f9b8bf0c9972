// Guards against jobs that are nearly all a little late, or accepted and done when they are of no
// use any more, while there is too little room.

#include "correctness/scheduler_overloaded_queue.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

// A third of the workers goes in the middle of a usual load and stays away.
void submitWhileEvacuated(overloaded_queue &queue)
{
    queue.submitFor(4s, 10);
    queue.owner->core.setEvacuatedDataCentres(queue.world.now, {data_centre_id{"dc-1"}});
    queue.submitFor(16s, 10);
}

} // namespace

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
