// Guards against an owner that spends its processor on polls of workers that run nothing, while the
// leases of those that do lapse: 3,000 workers behind a host of 0.1 core, which handles some 1,500
// results a second, lost their runs although the owner lived.

#include "correctness/scheduler_large_fleet.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

constexpr int workerCount = 3000;
constexpr std::int64_t smallHost = 100; // In thousandths of a core.
constexpr int resultsPerSecond = 1500;
constexpr int lastingTasks = 450;

struct large_fleet_test : testing::Test
{
    void startLastingTasks()
    {
        fleet.run(8s);
        for (int job = 0; job < 5; ++job)
            fleet.submitLasting(fmt::format("lasting-{}", job), lastingTasks / 5);
        fleet.run(5s);
    }

    large_fleet fleet{workerCount, smallHost, resultsPerSecond};
};

} // namespace

TEST_F(large_fleet_test, LeasesAreRenewedWhileMostWorkersAreIdle)
{
    startLastingTasks();
    ASSERT_EQ(fleet.runningTasks(), std::size_t(lastingTasks));
    fleet.run(30s);
    EXPECT_EQ(fleet.lapses, 0);
    EXPECT_EQ(fleet.startsCarriedOut, lastingTasks);
    EXPECT_FALSE(fleet.owner->hasRenewedLate) << "a poll went before a renewal due at that time";
}

TEST_F(large_fleet_test, IdlePollsLeaveMostOfTheProcessorToOtherWork)
{
    fleet.run(20s);
    const std::int64_t before = fleet.owner->polls;
    fleet.run(12s);
    EXPECT_LE(fleet.owner->polls - before, workerCount + workerCount / 10);
}

TEST_F(large_fleet_test, ASuccessorFindsAllRunsBeforeTheirLeasesLapse)
{
    startLastingTasks();
    fleet.elect(smallHost);
    fleet.run(20s);
    EXPECT_EQ(fleet.lapses, 0);
    EXPECT_EQ(fleet.runningTasks(), std::size_t(lastingTasks));
    EXPECT_EQ(fleet.startsCarriedOut, lastingTasks);
    EXPECT_EQ(fleet.owner->stops, 0);
}

// On the day of 3,000 workers, a new owner took four seconds to read their list. Its calls to the
// store ran into their time limits meanwhile, and it started tasks on workers that were leaving.
TEST(large_fleet_start, AnOldListDoesNotBecomeValidByAStoreThatSeemsAway)
{
    large_fleet fleet(10, smallHost, resultsPerSecond);
    fleet.run(2s);
    fleet.isListCurrent = false;
    fleet.run(2s);
    fleet.submitLasting("lasting", 5);
    fleet.run(2s);
    fleet.owner->core.setStoreAvailable(fleet.now, false);
    fleet.run(1s);
    EXPECT_EQ(fleet.startsCarriedOut, 0);
    fleet.isListCurrent = true;
    fleet.run(1s);
    EXPECT_EQ(fleet.startsCarriedOut, 5);
}
