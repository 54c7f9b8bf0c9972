// Guards against processing of reports that costs more than their content requires: an owner with
// 490 workers was saturated by 1,500 reports a second, as it copied all runs of the worker for
// each.

#include "correctness/scheduler_report_fleet.h"
#include "standin/allocation_counter.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

struct report_cost : testing::Test
{
    // Returns the number of allocations for a report in which nothing has changed.
    std::size_t allocationsOfReport(int servingTasks, int bestEffortTasks)
    {
        report_fleet fleet(1);
        fleet.submitServing("session-store-of-the-shop", servingTasks);
        fleet.startAllTasks();
        for (const char *image : {"video-transcoder-for-uploads", "index-builder-of-the-search"})
            fleet.submitBestEffort(image, bestEffortTasks / 2);
        fleet.startAllTasks();
        EXPECT_EQ(fleet.running[fleet.ids[0]].size(), std::size_t(servingTasks + bestEffortTasks));
        const auto [command, result] = fleet.reportOf(fleet.ids[0], report_fleet::defaultLatencyMs);
        fleet.ports.isDigesting = false;
        const std::size_t before = standin::allocated().allocations;
        fleet.core.onPollResult(fleet.now, command, result);
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

// The owner formatted a log line for each start, completion and pace command even while the log was
// full and dropped them.
TEST_F(report_cost, LinesThatAFullLogWouldDropAreNotFormatted)
{
    report_fleet fleet(1);
    fleet.ports.acceptsDetail = false;
    fleet.submitServing("session-store-of-the-shop", 4);
    fleet.submitBestEffort("video-transcoder-for-uploads", 8);
    fleet.startAllTasks();
    const auto [command, result] = fleet.reportOf(fleet.ids[0], 4 * report_fleet::defaultLatencyMs);
    fleet.core.onPollResult(fleet.now, command, result);
    EXPECT_GT(fleet.ports.paces, 0);
    EXPECT_EQ(fleet.ports.details, 0);
}
