/// Defines how best-effort runs yield to all other runs on their worker. A job that has waited too
/// long starts a task that way: any worker with room takes it, whatever its image, because it runs
/// at a low pace and pauses while a serving task beside it is near its latency target. Private to
/// the package.
#ifndef CROCUSWIND_SCHEDULER_YIELDING_RUNS_H
#define CROCUSWIND_SCHEDULER_YIELDING_RUNS_H

#include "scheduler_state.h"

namespace crocuswind::scheduler {

/// Returns the processors with which a yielding run counts that would use \p milliCores at full
/// pace, in thousandths of a core.
std::int64_t yieldingMilliCores(std::int64_t milliCores);

/// Returns the pace of yielding runs on the worker, in percent.
int yieldingPace(const worker_record &worker);

/// Lets the yielding runs that their workers could take like any other run at full pace from now
/// on. Call it when no waiting task can use these workers.
void endYieldingWherePossible(scheduler_state &state);

/// Stops a yielding run that another worker could take like any other run, so that it starts there.
/// Call it when no waiting task can use these workers.
void moveYieldingWherePossible(scheduler_state &state);

} // namespace crocuswind::scheduler

#endif
