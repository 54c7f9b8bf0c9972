/// Makes jobs and their progress durable in batches. Private to the package.
#ifndef CROCUSWIND_SCHEDULER_COMMIT_LOG_H
#define CROCUSWIND_SCHEDULER_COMMIT_LOG_H

#include "scheduler_state.h"

namespace crocuswind::scheduler {

/// Returns true if a record of what may be on the worker is still to be written or removed, so that
/// a former one may be durable.
bool isLeavingRecordOpen(const scheduler_state &state, const worker_id &id);

/// Notes that the record of \p job has changed, and returns what waits for it to become durable.
job_waiters &markDirty(scheduler_state &state, const job_record &job);

/// Lets the worker forget an end that changes no record, once all that is known of the job is
/// durable. What makes the end meaningless may be known here only: that the job was cancelled or
/// has failed, or that another run has done the task.
void settleWhenDurable(scheduler_state &state, const job_name &name, const pending_end &end);

/// Sends the next batch if there is something to send and none is under way.
void flushCommits(scheduler_state &state);

/// The batch under way is durable: answers its callers and lets workers forget their ends.
void finishCommit(scheduler_state &state);

/// The last batch had no effect: what it held is written later, and jobs that nobody was told of
/// yet are refused if the store is not available.
void takeBackCommit(scheduler_state &state);

/// Forgets ended jobs whose time has come, here and in the store. A job stays while a worker may
/// have a run of it.
void forgetEndedJobs(scheduler_state &state);

/// Rebuilds jobs and the list of workers from the records of an earlier owner.
void loadRecords(scheduler_state &state, const std::vector<stored_record> &records,
                 std::int64_t unixNowMs, instant inheritedUntil);

} // namespace crocuswind::scheduler

#endif
