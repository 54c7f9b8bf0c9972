#include "yielding_runs.h"

#include "disruption_budget.h"
#include "pace_control.h"
#include "run_binding.h"
#include "task_lifecycle.h"
#include "worker_choice.h"
#include "worker_chooser.h"

#include <algorithm>

namespace crocuswind::scheduler {

namespace {

/// The pace of a yielding run. Its neighbours, which count it with this pace, hardly notice it.
constexpr int lowPacePercent = 10;

/// A yielding run that could run like any other elsewhere is moved after this time.
constexpr duration minTimeBeforeMove = 1s;

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

// Returns true if the run makes so little progress where it is that it may be stopped for a better
// place.
bool isWorthMoving(const scheduler_state &state, const worker_record &worker, const bound_run &run)
{
    const task_state &task = *run.task;
    return task.phase == task_phase::running && state.now - task.runSince >= minTimeBeforeMove
        && (run.step->savesProgress || task.progressPercent <= maxLostProgressPercent
            || yieldingPace(worker) == 0);
}

// Returns true if another worker could take the run like any other.
bool hasBetterPlace(scheduler_state &state, const worker_record &worker, const task_name &name,
                    const bound_run &run)
{
    const std::map<worker_id, int> tasksOfStep
        = countRuns(run.job->occurrences.at(name.occurrence).steps[std::size_t(name.step)]);
    worker_request request;
    request.step = run.step;
    request.service = run.job->policy.service;
    request.tasksOfStep = &tasksOfStep;
    const worker_record *place = refreshedChooser(state).choose(request);
    return place != nullptr && place != &worker;
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

void moveYieldingWherePossible(scheduler_state &state)
{
    for (const task_name &name : state.yieldingTasks) {
        if (state.findTask(name)->phase == task_phase::stopping)
            return; // Its place is still free and would be found for others as well.
    }
    for (const task_name &name : state.yieldingTasks) {
        task_state &task = *state.findTask(name);
        const worker_record &worker = *state.findWorker(task.worker);
        const bound_run &run = worker.runs.at(name);
        if (isWorthMoving(state, worker, run) && hasBetterPlace(state, worker, name, run)
            && disruption_budget(state).take(name, run)) {
            sendStop(state, name, task);
            return;
        }
    }
}

} // namespace crocuswind::scheduler
