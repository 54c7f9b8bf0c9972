/// Chooses the worker for a task. Private to the package.
#ifndef CROCUSWIND_SCHEDULER_WORKER_CHOICE_H
#define CROCUSWIND_SCHEDULER_WORKER_CHOICE_H

#include "scheduler_state.h"

#include <map>

namespace crocuswind::scheduler {

/// No best-effort task is started beside a serving task above this ratio of latency to target,
/// unless it yields.
constexpr double maxRatioForBestEffort = 0.9;

/// The requirements and preferences of a task for its worker.
struct worker_request
{
    const step_spec *step = nullptr;
    service_id service;
    const std::map<worker_id, int> *tasksOfStep = nullptr; ///< Runs of the step on each worker.
    rack_id preferredRack; ///< Rack of the data or the step's other tasks; empty if none.
    double maxPressure
        = 1; ///< Highest allowed pressure on serving tasks, see bestEffortPressure().
    /// The task is best effort and its run will yield, see yielding_runs.h. It starts on any worker
    /// with room, if possible where it hurts least.
    bool isYielding = false;
};

/// Returns true if the worker is in an evacuated data centre.
bool isEvacuated(const scheduler_state &state, const worker_record &worker);

/// Returns true if tasks may start on the worker at all.
bool isEligible(const scheduler_state &state, const worker_record &worker);

/// Returns true if a task may be sent to the worker now. An eligible worker may have to answer a
/// poll first, see isAcknowledging().
bool mayStartNow(const scheduler_state &state, const worker_record &worker);

/// Returns true if the worker may run the task, whatever room it has.
bool isPossible(const scheduler_state &state, const worker_request &request,
                const worker_record &worker);

/// Returns the best eligible worker, or null if there is none or the list of workers is too old to
/// start tasks. Best-effort tasks go to the worker with the most idle processors whose serving
/// tasks tolerate them. Other tasks go to the worker with the smallest remainder of free processors
/// (best fit), so that large gaps remain for large tasks.
worker_record *chooseWorker(scheduler_state &state, const worker_request &request);

/// How many workers of a service cannot take a task, by the first reason that applies.
struct refusal_counts
{
    int workers = 0; ///< All workers of the service.
    int evacuated = 0; ///< In an evacuated data centre.
    int notEligible = 0; ///< Silent, leaving, avoided, or not known well enough.
    int label = 0; ///< Without the required label.
    int taskLimit = 0; ///< Already run the maximum number of tasks of the step.
    int room = 0; ///< Without the unreserved resources.
    int nearTarget = 0; ///< A serving task is too near its latency target for best-effort tasks.
    int idle = 0; ///< Without enough idle processors for a best-effort task.
    int pressure = 0; ///< Serving tasks do not tolerate the best-effort task.
    double lowestPressure = 0; ///< Among the workers in `pressure`; 0 if there are none.
};

/// Counts why workers cannot take a task. Examines all workers.
refusal_counts countRefusals(const scheduler_state &state, const worker_request &request);

} // namespace crocuswind::scheduler

#endif
