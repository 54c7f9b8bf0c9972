/// Moves tasks through their phases: release, start, end, loss, stop. Private to the package.
#ifndef CROCUSWIND_SCHEDULER_TASK_LIFECYCLE_H
#define CROCUSWIND_SCHEDULER_TASK_LIFECYCLE_H

#include "scheduler_state.h"

namespace crocuswind::scheduler {

/// Schedules the occurrences of a job that has just become durable.
void releaseDueOccurrences(scheduler_state &state, job_record &job);

/// Goes on with the occurrences of a job taken over from another owner. Tasks that could have been
/// started become `unlocated`.
void resumeOccurrences(scheduler_state &state, job_record &job, std::int64_t unixNowMs);

/// Releases all occurrences whose time has come.
void releaseOccurrences(scheduler_state &state);

/// Lets tasks start that no worker can be running any more.
void releaseUnlocatedTasks(scheduler_state &state);

/// Nothing that an earlier owner started can be on the worker without our knowledge any more.
void noteReported(scheduler_state &state, const worker_id &worker);

/// The task has no run now: it waits for the next one, or is dropped with its job.
void requeue(scheduler_state &state, const task_name &name, task_state &task);

/// Handles an end that \p worker has listed.
void handleEnd(scheduler_state &state, worker_record &worker, const ended_report &end);

/// Fails the job if one of its tasks has used up its attempts, once the limit is known.
void failIfExhausted(scheduler_state &state, job_record &job);

/// All runs on the worker are gone without a listed end.
void loseRuns(scheduler_state &state, worker_record &worker, const char *reason);

/// Orders the worker to stop the current run.
void sendStop(scheduler_state &state, const task_name &name, task_state &task);

/// Sends the stops again that should have had an answer by now.
void repeatStops(scheduler_state &state);

/// Stops all runs of a job that is over and drops its tasks.
void dropTasks(scheduler_state &state, job_record &job);

} // namespace crocuswind::scheduler

#endif
