/// Writes jobs and their progress to the store in batches. Private to the package.
#ifndef CROCUSWIND_SCHEDULER_COMMIT_LOG_H
#define CROCUSWIND_SCHEDULER_COMMIT_LOG_H

#include "scheduler_state.h"

namespace crocuswind::scheduler {

/// Returns true if an owner that hands over leaves further changes to its successor. It always
/// stores what the successor can't learn from the workers in time.
bool isHandoverFlushOver(const scheduler_state &state);

/// Marks the record of \p job as changed. Returns the calls and completions that wait until the
/// record is durable.
job_waiters &markDirty(scheduler_state &state, const job_record &job);

/// Settles a completion that changes no record, once the present state of the job is durable. That
/// state is the reason why the completion has no effect (the job was cancelled or has failed, or
/// another run has done the task), so a later owner must know it before the worker may forget the
/// completion.
void settleWhenDurable(scheduler_state &state, const job_name &name,
                       const pending_completion &completion);

/// Sends the next batch if there are changes to write and no batch is in flight.
void flushCommits(scheduler_state &state);

/// Handles the success of the batch in flight: answers the callers that wait for it and settles the
/// completions that it contains.
void finishCommit(scheduler_state &state);

/// Handles the refusal of the batch in flight, which had no effect: its changes are queued for a
/// later batch. If the store is not available, new jobs that are not stored yet are refused
/// instead.
void requeueCommit(scheduler_state &state);

/// Deletes ended jobs whose retention time has passed, in memory and in the store. A job is kept
/// while a worker may have a run of it.
void forgetEndedJobs(scheduler_state &state);

/// Restores the jobs, the list of workers and the interference model from the records of an earlier
/// owner.
void loadRecords(scheduler_state &state, const std::vector<stored_record> &records,
                 std::int64_t unixNowMs, const earlier_authority &authority);

} // namespace crocuswind::scheduler

#endif
