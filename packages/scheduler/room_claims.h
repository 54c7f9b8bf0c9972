/// Keeps room on workers for continuous tasks that are to start there. Private to the package.
///
/// Load pattern: hundreds of workers leave at once, or each gap on a full fleet is taken by a task
/// that is smaller than the interrupted one that waits for it. Room that is only looked at has gone
/// to other work by the time at which the task could start.
#ifndef CROCUSWIND_SCHEDULER_ROOM_CLAIMS_H
#define CROCUSWIND_SCHEDULER_ROOM_CLAIMS_H

#include "scheduler_state.h"
#include "worker_choice.h"

namespace crocuswind::scheduler {

/// Keeps the room that a task of the step reserves on the worker, from now on and until
/// \p keptUntil. The task must have no claim.
void claimRoom(scheduler_state &state, const task_name &name, const step_spec &step,
               worker_record &worker, instant keptUntil);

/// Gives up the room that is kept for the task, if there is any.
void releaseRoom(scheduler_state &state, const task_name &name);

/// Returns true if room is kept for the task.
bool hasClaim(const scheduler_state &state, const task_name &name);

/// Gives up the claims that have expired, those of tasks that neither wait for a start nor are
/// being stopped, and those on workers that may not run the task any more. Call it before a pass of
/// starts.
void reviewClaims(scheduler_state &state);

/// Returns the worker on which room is kept for the task if it can start there now, otherwise null.
worker_record *claimedPlace(scheduler_state &state, const task_name &name);

/// Returns how many runs of the step's tasks may exist on each worker or have a claim there.
std::map<worker_id, int> countPlaces(const scheduler_state &state, const job_record &job,
                                     int occurrence, int step);

/// Claims room for a waiting task on a worker that has it once finite runs there have ended. No
/// other task that reserves processors starts on that worker before. Returns false if finite runs
/// hold the room on no worker.
bool claimFutureRoom(scheduler_state &state, const task_name &name, const worker_request &request);

} // namespace crocuswind::scheduler

#endif
