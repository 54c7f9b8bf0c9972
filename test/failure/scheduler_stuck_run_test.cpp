// Guards against an owner that forgets an ended job while a worker still reports one of its runs:
// the owner then accessed the deleted job to store the measurements of that run.

#include "correctness/scheduler_report_fleet.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

TEST(SchedulerStuckRun, KeepsTheJobUntilItsRunHasEnded)
{
    report_fleet fleet(1);
    fleet.submitBestEffort("transcoder", 1);
    fleet.startAllTasks();
    const worker_id worker = fleet.ids[0];
    ASSERT_EQ(fleet.running[worker].size(), 1U);
    const auto [task, run] = fleet.running[worker][0];
    job_call cancel;
    cancel.kind = job_call_kind::cancel;
    cancel.name = task.job;
    fleet.core.call(fleet.now, fleet.clockMs(), cancel);
    // The worker does not execute the stop command for longer than ended jobs can be queried.
    for (int second = 0; second < 400; ++second) {
        fleet.now += 990ms;
        fleet.settle();
    }
    EXPECT_EQ(fleet.core.counters().jobsKnown, 1);

    fleet.running[worker].clear();
    auto [command, result] = fleet.reportOf(worker, report_fleet::defaultLatencyMs);
    result.report.completedRuns.push_back({1, task, run, completion_reason::stopped, ""});
    fleet.core.onPollResult(fleet.now, command, result);
    for (int second = 0; second < 400; ++second) {
        fleet.now += 990ms;
        fleet.settle();
    }
    EXPECT_EQ(fleet.core.counters().jobsKnown, 0);
}
