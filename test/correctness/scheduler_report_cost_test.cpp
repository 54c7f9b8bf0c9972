// Guards against reports that cost the owner far more than their content: on a site with 490
// workers it was saturated by 1,500 reports a second, each of which copied the runs of its worker.

#include "correctness/scheduler_report_fleet.h"
#include "standin/allocation_counter.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

struct report_cost : testing::Test
{
    // The allocations of a report in which nothing has changed.
    std::size_t allocationsOfReport(int servingTasks, int fillingTasks)
    {
        report_fleet fleet(1);
        fleet.serve("session-store-of-the-shop", servingTasks);
        fleet.placeAll();
        for (const char *image : {"video-transcoder-for-uploads", "index-builder-of-the-search"})
            fleet.fill(image, fillingTasks / 2);
        fleet.placeAll();
        EXPECT_EQ(fleet.running[fleet.ids[0]].size(), std::size_t(servingTasks + fillingTasks));
        const auto [order, result] = fleet.reportOf(fleet.ids[0], report_fleet::usualLatencyMs);
        fleet.ports.isDigesting = false;
        const std::size_t before = standin::allocated().allocations;
        fleet.core.onPollResult(fleet.now, order, result);
        return standin::allocated().allocations - before;
    }
};

} // namespace

TEST_F(report_cost, UnchangedRunsAreNotCopied)
{
    const std::size_t withFewRuns = allocationsOfReport(1, 2);
    EXPECT_EQ(allocationsOfReport(5, 14), withFewRuns);
    EXPECT_LE(withFewRuns, 4U);
}

// The owner formatted a line for each start, end and pace and left it to the full log to drop it.
TEST_F(report_cost, LinesWithoutRoomAreNotMade)
{
    report_fleet fleet(1);
    fleet.ports.hasLogRoom = false;
    fleet.serve("session-store-of-the-shop", 4);
    fleet.fill("video-transcoder-for-uploads", 8);
    fleet.placeAll();
    const auto [order, result] = fleet.reportOf(fleet.ids[0], 4 * report_fleet::usualLatencyMs);
    fleet.core.onPollResult(fleet.now, order, result);
    EXPECT_GT(fleet.ports.paces, 0);
    EXPECT_EQ(fleet.ports.details, 0);
}
