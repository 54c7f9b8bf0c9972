#include "run_binding.h"

#include "pace_control.h"
#include "serving_load.h"
#include "yielding_runs.h"

#include <algorithm>

namespace crocuswind::scheduler {

namespace {

// Returns the processors that a best-effort run of the step counts with.
std::int64_t countedMilliCores(const step_spec &step, bool isYielding)
{
    return isYielding ? yieldingMilliCores(step.size.milliCores) : step.size.milliCores;
}

best_effort_image &addBestEffort(scheduler_state &state, worker_record &worker,
                                 const step_spec &step, bool isYielding)
{
    const auto [found, isNew] = worker.bestEffort.try_emplace(step.image);
    if (isNew)
        found->second.image = state.interference.indexOfBestEffort(step.image);
    const std::int64_t counted = countedMilliCores(step, isYielding);
    ++found->second.tasks;
    found->second.wantedMilliCores += counted;
    worker.bestEffortMilliCores += counted;
    return found->second;
}

void removeBestEffort(worker_record &worker, const step_spec &step, bool isYielding)
{
    const auto found = worker.bestEffort.find(step.image);
    const std::int64_t counted = countedMilliCores(step, isYielding);
    worker.bestEffortMilliCores -= counted;
    found->second.wantedMilliCores -= counted;
    if (--found->second.tasks == 0)
        worker.bestEffort.erase(found);
}

serving_image &addServing(scheduler_state &state, worker_record &worker, const step_spec &step)
{
    const auto [found, isNew] = worker.serving.try_emplace(step.image);
    if (isNew)
        found->second.image = state.interference.indexOfServing(step.image);
    ++found->second.tasks;
    worker.servingMilliCores += step.size.milliCores;
    return found->second;
}

void removeServing(worker_record &worker, const step_spec &step)
{
    const auto found = worker.serving.find(step.image);
    worker.servingMilliCores -= step.size.milliCores;
    if (--found->second.tasks == 0)
        worker.serving.erase(found);
}

} // namespace

void bindRun(scheduler_state &state, worker_record &worker, const task_name &name, task_state &task,
             int run, bool isYielding)
{
    job_record &job = *state.findJob(name.job);
    const step_spec &step = job.spec.steps[std::size_t(name.step)];
    task.worker = worker.info.id;
    task.lastRun = std::max(task.lastRun, run);
    task.pacePercent = 100;
    task.progressPercent = 0; // Until the worker has reported this run.
    task.lastPollBeforeAnswer = 0;
    task.isStopAnswered = false;
    bound_run &bound = worker.runs[name];
    bound = {run, &job, &step, &task};
    ++job.boundRuns;
    if (step.isBestEffort) {
        bound.bestEffort = &addBestEffort(state, worker, step, isYielding);
        bound.isYielding = isYielding;
    }
    if (isYielding)
        state.yieldingTasks.insert(name);
    if (step.latencyTargetMs > 0) {
        bound.serving = &addServing(state, worker, step);
        bound.load = bindLoad(state, name.job, name.step, step.image);
    }
    worker.committed = worker.committed + reservedBy(step);
    if (!step.isContinuous)
        worker.finiteCommitted = worker.finiteCommitted + reservedBy(step);
    updateBudgets(state, worker);
    state.noteWorkerChanged(worker);
    state.noteRunsChanged(worker);
}

void endYielding(scheduler_state &state, worker_record &worker, const task_name &name)
{
    bound_run &run = worker.runs.at(name);
    const std::int64_t added
        = run.step->size.milliCores - yieldingMilliCores(run.step->size.milliCores);
    run.isYielding = false;
    run.bestEffort->wantedMilliCores += added;
    worker.bestEffortMilliCores += added;
    state.yieldingTasks.erase(name);
    updateBudgets(state, worker);
    state.noteWorkerChanged(worker);
}

void unbindRun(scheduler_state &state, const task_name &name, task_state &task)
{
    worker_record &worker = *state.findWorker(task.worker);
    const auto bound = worker.runs.find(name);
    const step_spec &step = *bound->second.step;
    job_record &job = *bound->second.job;
    --job.boundRuns;
    if (task.phase != task_phase::starting)
        job.idleSince = state.now;
    const bool isYielding = bound->second.isYielding;
    if (bound->second.load != nullptr)
        unbindLoad(*bound->second.load);
    worker.runs.erase(bound);
    if (isYielding)
        state.yieldingTasks.erase(name);
    if (step.isBestEffort)
        removeBestEffort(worker, step, isYielding);
    if (step.latencyTargetMs > 0)
        removeServing(worker, step);
    worker.committed = worker.committed - reservedBy(step);
    if (!step.isContinuous)
        worker.finiteCommitted = worker.finiteCommitted - reservedBy(step);
    updateBudgets(state, worker);
    state.noteWorkerChanged(worker);
    // Finite tasks need no update of the leaving record while other runs remain: a record that
    // still names a task that is done holds back nothing.
    if (step.isContinuous || worker.runs.empty())
        state.noteRunsChanged(worker);
    task.worker = worker_id();
    state.isDispatchWanted = true;
}

} // namespace crocuswind::scheduler
