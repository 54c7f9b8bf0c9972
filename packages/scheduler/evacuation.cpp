#include "evacuation.h"

#include "task_lifecycle.h"
#include "worker_choice.h"

#include <algorithm>
#include <fmt/format.h>

namespace crocuswind::scheduler {

namespace {

/// Maximum number of tasks being moved from one worker at once, so that these find a new worker
/// before more are stopped.
constexpr int maxConcurrentMoves = 4;

void logEvacuation(scheduler_state &state, const worker_record &worker, const task_name &name)
{
    state.logDetail("evacuate", [&] {
        return fmt::format("job={} task={} from={}", name.job.value, toString(name),
                           worker.info.id.value);
    });
}

} // namespace

void evacuateWorker(scheduler_state &state, worker_record &worker)
{
    if (!worker.info.isDraining)
        return;
    auto moving = std::count_if(worker.runs.begin(), worker.runs.end(), [](const auto &entry) {
        return entry.second.task->phase == task_phase::stopping;
    });
    for (const auto &[name, run] : worker.runs) {
        const job_record &job = *run.job;
        const step_spec &step = *run.step;
        task_state &task = *run.task;
        if (!step.isContinuous || task.phase != task_phase::running || moving >= maxConcurrentMoves)
            continue;
        const std::map<worker_id, int> tasksOfStep
            = countRuns(job.occurrences.at(name.occurrence).steps[std::size_t(name.step)]);
        if (chooseWorker(state, {&step, job.policy.service, &tasksOfStep, rack_id(), 1}) == nullptr)
            continue;
        logEvacuation(state, worker, name);
        sendStop(state, name, task);
        ++moving;
    }
}

} // namespace crocuswind::scheduler
