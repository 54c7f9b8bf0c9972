/// Lays out the occurrences of jobs and releases their tasks: when they are due, when earlier steps
/// are done, and when no worker can be running them for an earlier owner. Private to the package.
#ifndef CROCUSWIND_SCHEDULER_OCCURRENCES_H
#define CROCUSWIND_SCHEDULER_OCCURRENCES_H

#include "scheduler_state.h"

namespace crocuswind::scheduler {

/// Returns the Unix time in milliseconds.
std::int64_t unixTimeMs(const scheduler_state &state);

/// Moves the blocked tasks of all steps whose predecessors are done to `waiting`.
void unblockSteps(scheduler_state &state, job_record &job, occurrence_state &occurrence);

/// Schedules the release of the job's next occurrence unless it has to wait for others to end.
void scheduleNextOccurrence(scheduler_state &state, job_record &job);

/// Schedules the occurrences of a job that has just become durable and releases those that are due.
void releaseDueOccurrences(scheduler_state &state, job_record &job);

/// Restores the occurrences of a job taken over from another owner. Tasks that the other owner may
/// have started become `unlocated`.
void resumeOccurrences(scheduler_state &state, job_record &job);

/// Releases all occurrences that are due. Only then are their tasks created, so that memory follows
/// what is due and not the number of repetitions.
void releaseOccurrences(scheduler_state &state);

/// Returns a task that a worker has reported, or null if no job has it. An earlier owner, whose
/// clock may differ, has released its occurrence; the tasks of the occurrence are created if they
/// are missing.
task_state *findReportedTask(scheduler_state &state, const task_name &name);

/// Marks the `unlocated` tasks of all steps after that of \p running as blocked, so that they wait
/// for no worker that has not reported: no owner can have started them while the task had no run
/// that has ended. \p running must be in its first run. Does nothing if the task may have copies.
void excludeStartsAfter(job_record &job, const task_name &running);

/// Releases the `unlocated` tasks that no unreported worker can be running, so that they may start.
void releaseUnlocatedTasks(scheduler_state &state);

} // namespace crocuswind::scheduler

#endif
