/// Implements the transitions between the phases of a task after its release: completion, loss and
/// stop.
/// Private to the package.
#ifndef CROCUSWIND_SCHEDULER_TASK_LIFECYCLE_H
#define CROCUSWIND_SCHEDULER_TASK_LIFECYCLE_H

#include "scheduler_state.h"

#include <functional>

namespace crocuswind::scheduler {

/// Records that all runs on the worker that an earlier owner started are known or have ended.
/// Returns true if releaseUnlocatedTasks() may release tasks now, which looks at all jobs: call it
/// once for several workers.
[[nodiscard]] bool noteReported(scheduler_state &state, const worker_id &worker);

/// Does the same, and releases the tasks.
void markReported(scheduler_state &state, const worker_id &worker);

/// Queues a task without a current run for its next run. Drops it if its job is over.
void requeue(scheduler_state &state, const task_name &name, task_state &task);

/// Records that a run of the task has begun. Called when a worker has shown it, not when a start
/// command is sent: the worker may refuse the command or never receive it. For a continuous task it
/// becomes durable, so that a later owner knows that the task was interrupted.
void noteRunBegan(scheduler_state &state, job_record &job, const task_name &name);

/// Handles a completion that \p worker has reported.
void handleCompletion(scheduler_state &state, worker_record &worker,
                      const completion_report &completion);

/// Fails the job if one of its tasks has used up its attempts. Called once the attempt limit
/// becomes known.
void failIfExhausted(scheduler_state &state, job_record &job);

/// Handles the loss of the runs on the worker for which \p isLost returns true, without completion
/// reports: requeues their tasks.
void handleLostRuns(scheduler_state &state, worker_record &worker, const char *reason,
                    const std::function<bool(const bound_run &)> &isLost);

/// Sends a stop command for the current run of the task.
void sendStop(scheduler_state &state, const task_name &name, task_state &task);

/// Sends overdue stop commands again, which have had no answer within the retry interval.
void resendStops(scheduler_state &state);

/// Stops all runs of a job that is over and drops its tasks.
void dropTasks(scheduler_state &state, job_record &job);

} // namespace crocuswind::scheduler

#endif
