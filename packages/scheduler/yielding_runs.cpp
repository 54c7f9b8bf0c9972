#include "yielding_runs.h"

#include "pace_control.h"
#include "run_binding.h"
#include "worker_choice.h"

#include <algorithm>

namespace crocuswind::scheduler {

namespace {

/// The pace of a yielding run. Its neighbours, which count it with this pace, hardly notice it.
constexpr int lowPacePercent = 10;

double highestLatencyRatio(const worker_record &worker)
{
    double highest = 0;
    for (const auto &[image, serving] : worker.serving)
        highest = std::max(highest, serving.latencyRatio);
    return highest;
}

// Returns true if the worker could take the run like any other.
bool canEndYielding(const scheduler_state &state, const worker_record &worker, const bound_run &run)
{
    const std::int64_t size = run.step->size.milliCores;
    const std::int64_t added = size - yieldingMilliCores(size);
    return run.task->phase == task_phase::running
        && highestLatencyRatio(worker) <= maxRatioForBestEffort && idleMilliCores(worker) >= added
        && bestEffortPressure(worker, state.interference.coefficientsOf(run.step->image), added)
        <= 1;
}

} // namespace

std::int64_t yieldingMilliCores(std::int64_t milliCores)
{
    return milliCores * lowPacePercent / 100;
}

int yieldingPace(const worker_record &worker)
{
    return highestLatencyRatio(worker) > maxRatioForBestEffort ? 0 : lowPacePercent;
}

void endYieldingWherePossible(scheduler_state &state)
{
    for (auto next = state.yieldingTasks.begin(); next != state.yieldingTasks.end();) {
        const task_name name = *next++; // A copy, because the set loses runs that cease to yield.
        worker_record &worker = *state.findWorker(state.findTask(name)->worker);
        if (canEndYielding(state, worker, worker.runs.at(name)))
            endYielding(state, worker, name);
    }
}

} // namespace crocuswind::scheduler
